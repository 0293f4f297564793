"""Test that a non-idempotent job is claimed before it is started."""

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
_NON_IDEMPOTENT = frozenset(('bill',))


class _State:
    """Fake durable state: grants leases, or is unreachable."""

    def __init__(self) -> None:
        """Start without claims."""
        self.claims: list[str] = []
        self.is_reachable = True

    async def submit(
        self, _action: Any, command_id: str | None = None
    ) -> Reply:
        """Grant a lease; a resent command gets its first reply."""
        if not self.is_reachable:
            raise StateError(ResultCode.STATE_NO_QUORUM, 'cut off')
        assert command_id is not None
        if command_id not in self.claims:
            self.claims.append(command_id)
        token = self.claims.index(command_id) + 1
        return Reply(0, '', 1, token=token)

    async def read(self, *_arguments: Any, **_options: Any) -> Any:
        """Not used by these tests."""
        raise NotImplementedError


class _Platform:
    """Fake platform: records requested actions, or loses the response."""

    def __init__(self) -> None:
        """Start without requested actions."""
        self.requested: list[str] = []
        self.is_lossy = False

    async def act(self, action: Action) -> None:
        """Record the action."""
        self.requested.append(action.action_id)
        if self.is_lossy:
            raise PlatformError(ResultCode.PLATFORM_UNREACHABLE, 'lost')

    async def list_vms(self, _after_revision: int) -> VmPage:
        """Not used by these tests."""
        raise NotImplementedError

    async def list_tasks(self, _worker: str) -> tuple[TaskView, ...]:
        """Not used by these tests."""
        raise NotImplementedError


class TestJobActions(testtools.TestCase):
    """Claims, resends and the order of actions."""

    def setUp(self) -> None:
        """Connect the actions to a fake state and a fake platform."""
        super().setUp()
        self.state = _State()
        self.platform = _Platform()
        self.actions = self._actions()

    def test_lost_response(self) -> None:
        """A start whose response is lost is resent under the same claim."""
        self.actions.add([_START])
        self.platform.is_lossy = True
        self._send()
        self.platform.is_lossy = False
        self._send()
        self._send()

        self.assertThat(
            self.platform.requested,
            Equals(['bill/7/start/1', 'bill/7/start/1']),
        )
        self.assertThat(self.state.claims, HasLength(1))

    def test_claimed_job_is_not_started(self) -> None:
        """A job that was claimed earlier fails and is not started."""
        self.state.claims.append('job/bill/3/start/1')
        self.actions.add([_START])

        ends = self._send()

        self.assertThat([end.change for end in ends], Equals([TaskEnd.FAILED]))
        self.assertThat(self.platform.requested, Equals([]))

    def test_start_waits_for_durable_state(self) -> None:
        """Without the durable state, a non-idempotent job is not started."""
        self.actions.add([_START])
        self.state.is_reachable = False
        self.assertThat(self._send(), Equals([]))
        self.assertThat(self.platform.requested, Equals([]))

        self.state.is_reachable = True
        self._send()
        self.assertThat(self.platform.requested, HasLength(1))

    def test_checkpoint_precedes_stop(self) -> None:
        """A stop waits until its checkpoint is confirmed."""
        self.actions.add([StopTask('job', 'vm-0', 8, with_checkpoint=True)])
        self.platform.is_lossy = True
        self._send()
        self.platform.is_lossy = False
        self._send()

        kinds = [
            action_id.split('/')[2] for action_id in self.platform.requested
        ]
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
        return asyncio.run(self.actions.send(_NON_IDEMPOTENT))
