"""Test that a claim stands before each start of a non-idempotent job."""

from __future__ import annotations

import asyncio
from typing import Any

import testtools
from testtools.matchers import Equals, HasLength

from wigeonreach.codes import ResultCode
from wigeonreach.exceptions import PlatformError, StateError
from wigeonreach.fleet._placement_model import StartTask, StopTask, TaskEnd
from wigeonreach.manager._job_actions import JobActions
from wigeonreach.observe import Logger, Metrics
from wigeonreach.provider import Action, TaskView, VmPage
from wigeonreach.wire._command_messages import Reply

_START = StartTask('bill', 'vm-0', 7, 30)
_ONCE = frozenset(('bill',))


class _State:
    """Grants leases from memory, or can't be reached."""

    def __init__(self) -> None:
        """Start with no claim."""
        self.claims: list[str] = []
        self.is_reachable = True

    async def submit(
        self, _action: Any, command_id: str | None = None
    ) -> Reply:
        """Grant; a resent command gets its first reply."""
        if not self.is_reachable:
            raise StateError(ResultCode.STATE_NO_QUORUM, 'cut off')
        assert command_id is not None
        if command_id not in self.claims:
            self.claims.append(command_id)
        token = self.claims.index(command_id) + 1
        return Reply(0, '', 1, token=token)

    async def read(self, *_arguments: Any, **_options: Any) -> Any:
        """Answer nothing."""
        raise NotImplementedError


class _Platform:
    """Notes what it is asked, or loses the answer."""

    def __init__(self) -> None:
        """Start with nothing asked."""
        self.asked: list[str] = []
        self.is_lossy = False

    async def act(self, action: Action) -> None:
        """Note the action."""
        self.asked.append(action.action_id)
        if self.is_lossy:
            raise PlatformError(ResultCode.PLATFORM_UNREACHABLE, 'lost')

    async def list_vms(self, _after_revision: int) -> VmPage:
        """Answer nothing."""
        raise NotImplementedError

    async def list_tasks(self, _worker: str) -> tuple[TaskView, ...]:
        """Answer nothing."""
        raise NotImplementedError


class TestJobActions(testtools.TestCase):
    """Claims, resends and their order."""

    def setUp(self) -> None:
        """Put the actions between a state and a platform."""
        super().setUp()
        self.state = _State()
        self.platform = _Platform()
        self.actions = self._actions()

    def test_lost_answer(self) -> None:
        """A start whose answer is lost is resent under one claim."""
        self.actions.add([_START])
        self.platform.is_lossy = True
        self._send()
        self.platform.is_lossy = False
        self._send()
        self._send()

        self.assertThat(
            self.platform.asked,
            Equals(['bill/7/start/1', 'bill/7/start/1']),
        )
        self.assertThat(self.state.claims, HasLength(1))

    def test_claimed_before(self) -> None:
        """A job that was claimed before is ended and never started."""
        self.state.claims.append('job/bill/3/start/1')
        self.actions.add([_START])

        ends = self._send()

        self.assertThat([end.change for end in ends], Equals([TaskEnd.FAILED]))
        self.assertThat(self.platform.asked, Equals([]))

    def test_claim_unknown(self) -> None:
        """Without the durable state a billing run waits."""
        self.actions.add([_START])
        self.state.is_reachable = False
        self.assertThat(self._send(), Equals([]))
        self.assertThat(self.platform.asked, Equals([]))

        self.state.is_reachable = True
        self._send()
        self.assertThat(self.platform.asked, HasLength(1))

    def test_checkpoint_first(self) -> None:
        """A checkpoint goes before its stop, and a lost one holds it back."""
        self.actions.add([StopTask('job', 'vm-0', 8, with_checkpoint=True)])
        self.platform.is_lossy = True
        self._send()
        self.platform.is_lossy = False
        self._send()

        kinds = [asked.split('/')[2] for asked in self.platform.asked]
        self.assertThat(kinds, Equals(['checkpoint', 'checkpoint', 'stop']))

    def _actions(self) -> JobActions:
        return JobActions(
            'manager-a',
            self.platform,
            self.state,
            Metrics(),
            Logger('test'),
        )

    def _send(self) -> list[Any]:
        return asyncio.run(self.actions.send(_ONCE))
