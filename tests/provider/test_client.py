"""Test that the client validates the platform's responses."""

from __future__ import annotations

import asyncio
import dataclasses
import pathlib
import tempfile
from collections.abc import Awaitable, Callable

import msgspec
import testtools
from aiohttp.test_utils import TestServer
from testtools.matchers import Equals, HasLength

from wigeonreach.codes import ResultCode
from wigeonreach.exceptions import PlatformError
from wigeonreach.observe import Metrics
from wigeonreach.provider import (
    ActionKind,
    PlatformClient,
    TaskAction,
    VmAction,
    VmPhase,
)
from wigeonreach.standins._platform import FaultRatios, build_application
from wigeonreach.standins._platform_fleet import (
    Fleet,
    Timing,
    new_vms,
    read_action_log,
)

_DRAIN = VmAction(ActionKind.DRAIN, 'a-vm-0', 'wave/a-vm-0/1/drain', 5)
_START = TaskAction(ActionKind.START, 'bill', 'a-vm-0', 5, 'bill/5')
_Talk = Callable[[PlatformClient], Awaitable[None]]


class TestPlatformClient(testtools.TestCase):
    """Faults between the client and the platform."""

    def setUp(self) -> None:
        """Create a fleet of two VMs."""
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.log = pathlib.Path(folder.name) / 'actions.jsonl'
        self.fleet = Fleet(
            new_vms(['a'], 2, 2),
            Timing(drain_s=0, reboot_s=0, check_s=0),
            frozenset(),
            self.log,
        )

    def test_lists_changes(self) -> None:
        """Only VMs that changed after a revision are listed."""

        async def talk(client: PlatformClient) -> None:
            first = await client.list_vms(0)
            await client.act(_DRAIN)
            later = await client.list_vms(first.revision)

            self.assertThat(first.vms, HasLength(2))
            self.assertThat(
                [(vm.name, vm.phase) for vm in later.vms],
                Equals([('a-vm-0', VmPhase.DRAINING)]),
            )

        self._talk(talk)

    def test_lost_response(self) -> None:
        """A resent action whose response was lost takes effect once."""

        async def talk(client: PlatformClient) -> None:
            for _ in range(2):
                await self._expect(
                    client.act(_DRAIN),
                    ResultCode.PLATFORM_UNREACHABLE,
                )

        self._talk(talk, lost_ratio=1)
        self.assertThat(read_action_log(self.log), HasLength(1))

    def test_doubled_request(self) -> None:
        """A request that arrives twice takes effect once."""

        async def talk(client: PlatformClient) -> None:
            await client.act(_DRAIN)

        self._talk(talk, doubled_ratio=1)
        self.assertThat(read_action_log(self.log), HasLength(1))

    def test_response_to_another_request(self) -> None:
        """A response that belongs to another request is rejected."""

        async def talk(client: PlatformClient) -> None:
            wrong = ResultCode.PLATFORM_ANSWER_WRONG
            await self._expect(client.list_vms(0), wrong)
            await self._expect(client.act(_DRAIN), wrong)

        self._talk(talk, wrong_ratio=1)

    def test_lower_token_is_fenced(self) -> None:
        """The platform refuses an action of an earlier lease holder."""

        async def talk(client: PlatformClient) -> None:
            await client.act(_DRAIN)
            old = dataclasses.replace(
                _DRAIN,
                kind=ActionKind.REBOOT,
                fencing_token=4,
            )
            await self._expect(client.act(old), ResultCode.PLATFORM_FENCED)

        self._talk(talk)
        self.assertThat(read_action_log(self.log), HasLength(1))

    def test_overtaken_start(self) -> None:
        """A start that arrives after its stop is ignored."""

        async def talk(client: PlatformClient) -> None:
            stop = dataclasses.replace(_START, kind=ActionKind.STOP)
            await client.act(stop)
            await client.act(_START)
            tasks = await client.list_tasks('a-vm-0')

            self.assertThat([task.state for task in tasks], Equals(['never']))

        self._talk(talk)

    def _talk(self, talk: _Talk, **ratios: float) -> None:
        nothing = FaultRatios(0, 0, 0, 0)
        faults = msgspec.structs.replace(nothing, **ratios)
        asyncio.run(self._serve(talk, faults))

    async def _serve(self, talk: _Talk, faults: FaultRatios) -> None:
        application = build_application(self.fleet, faults, seed=1)
        async with TestServer(application) as server:
            client = PlatformClient(str(server.make_url('')), Metrics())
            await client.open()
            try:
                await talk(client)
            finally:
                await client.close()

    async def _expect(self, asked: Awaitable[object], code: ResultCode) -> None:
        try:
            await asked
        except PlatformError as error:
            self.assertThat(error.code, Equals(code))
        else:
            self.fail(f'expected {code.name}')
