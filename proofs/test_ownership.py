"""Check that a VM has one owner while a manager is cut off and reconnects."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import shutil
import time

import testtools
from testtools.matchers import Equals, GreaterThan

from bench.cluster import Cluster, Process, Shape
from bench.relay import Relay
from wigeonreach.codes import ResultCode
from wigeonreach.exceptions import StateError
from wigeonreach.state import StateClient
from wigeonreach.state._holding import Fence, Holding
from wigeonreach.state._ownership import next_step
from wigeonreach.wire._command_messages import (
    ConfirmRelease,
    GrantVm,
    RenewVm,
    Reply,
)
from wigeonreach.wire._state_messages import ReadVms, Vms

_FOLDER = pathlib.Path('run/proof-ownership')
_LEASE_S = 3.0
_POLL_S = 0.1
_TIMEOUT_S = 15.0
_SHAPE = Shape(
    zones=('a', 'b', 'c'),
    entries_per_zone=0,
    services=(),
    targets_per_service=0,
)


class TestOwnership(testtools.TestCase):
    """Two managers; the zone of one is cut off for longer than its lease."""

    def setUp(self) -> None:
        """Start three replicas."""
        super().setUp()
        shutil.rmtree(_FOLDER, ignore_errors=True)
        self.relay = Relay()
        self.addCleanup(self.relay.close)
        self.cluster = Cluster(_SHAPE, _FOLDER, self.relay)
        self.addCleanup(self.cluster.stop)
        self.cluster.start()

    def test_isolated_manager(self) -> None:
        """The VM moves only after its lease; the old token becomes invalid."""
        asyncio.run(self._isolate())

    async def _isolate(self) -> None:
        first = _client('m-c', self.cluster.replicas[2:], give_up_s=_TIMEOUT_S)
        second = _client('m-a', self.cluster.replicas[:2], _TIMEOUT_S)
        fence = Fence()
        asked_s = time.monotonic()
        granted = await first.submit(GrantVm('vm-1', 'desk', _LEASE_S))
        holding = Holding(granted.token, asked_s, _LEASE_S)
        self.assertTrue(fence.admit('vm-1', holding.token))
        self.relay.cut_between({'replica-c'}, {'replica-a', 'replica-b'})

        renewal = RenewVm('vm-1', holding.token, _LEASE_S)
        lost = asyncio.ensure_future(first.submit(renewal))
        moved_token = await self._move(second, GrantVm('vm-1', 'portal', 60))
        self.assertFalse(holding.may_act(time.monotonic()))
        self.assertTrue(fence.admit('vm-1', moved_token))
        self.relay.heal()
        late_codes = await _stale_token_codes(first, lost, holding.token)
        record = (await second.read(ReadVms(), Vms)).vms[0]

        self.assertThat(late_codes, Equals({ResultCode.STATE_NOT_HELD}))
        self.assertThat(moved_token, GreaterThan(holding.token))
        self.assertThat(record.pool, Equals('portal'))
        self.assertThat(record.token, Equals(moved_token))
        self.assertFalse(fence.admit('vm-1', holding.token))

    async def _move(self, manager: StateClient, wanted: GrantVm) -> int:
        ends_s = time.monotonic() + _TIMEOUT_S
        while time.monotonic() < ends_s:
            vms = (await manager.read(ReadVms(), Vms)).vms
            if vms[0].pool == wanted.pool:
                return vms[0].token
            step = next_step(vms[0], wanted, time.time())
            if step is not None:
                await manager.submit(step)
            await asyncio.sleep(_POLL_S)
        raise TimeoutError(wanted.vm)


async def _stale_token_codes(
    manager: StateClient,
    lost: asyncio.Future[Reply],
    token: int,
) -> set[int]:
    """Return the result codes that the old token gets after the heal."""
    codes: set[int] = set()
    with contextlib.suppress(StateError):
        codes.add((await lost).code)
    for action in (
        RenewVm('vm-1', token, _LEASE_S),
        ConfirmRelease('vm-1', token),
    ):
        codes.add((await manager.submit(action)).code)
    return codes


def _client(
    author: str,
    replicas: list[Process],
    give_up_s: float,
) -> StateClient:
    return StateClient(
        author,
        [replica.member for replica in replicas],
        give_up_s=give_up_s,
    )
