"""Run the Raft core: one task owns its state, a thread writes to disk."""

from __future__ import annotations

import asyncio
import contextlib
import math
import random
import time
from collections.abc import Callable, Sequence

import mode

from wigeonreach.agreement._applier import Applier
from wigeonreach.agreement._disk_writer import DiskWriter
from wigeonreach.agreement._links import Links
from wigeonreach.agreement._pending_requests import Applied, ReadIndex
from wigeonreach.agreement._raft import Raft
from wigeonreach.agreement._raft_state import RaftState
from wigeonreach.agreement._raft_types import (
    Output,
    PeersDiscovered,
    RaftEvent,
    RaftSettings,
    Received,
    Role,
    Tick,
    TransferLeadership,
    WritesSynced,
)
from wigeonreach.agreement._request_router import RequestRouter
from wigeonreach.agreement._settings import ReplicaSettings
from wigeonreach.agreement._state_machine import StateMachine
from wigeonreach.agreement._storage import Storage, StoredState
from wigeonreach.codes import ResultCode
from wigeonreach.exceptions import StateError
from wigeonreach.observe import LogEvent, Logger
from wigeonreach.wire._raft_messages import MemberId, RaftMessage

_DEFAULT_TIMES = RaftSettings()
_TICK_S = 0.05
_CATCH_UP_TIMEOUT_S = 2.5
_LEADER_MISSING_INTERVAL_S = 10.0
_MAX_COMMAND_BYTES = 4 * 1024 * 1024


def _ignore_role_change() -> None:
    """Ignore changes of the role."""


class RaftAgreement(mode.Service):
    """One Raft replica, with its storage and its links to other replicas.

    Parameters
    ----------
    settings
        Name of this replica and addresses of the others.
    machine
        The replicated state machine.
    storage
        Durable storage of the Raft state.
    stored
        Content of the storage at the start.
    on_failed
        Called with an error after which the process must exit.
    logger
        Where events are logged.
    times
        Timeouts and size limits of Raft.
    on_role
        Called after the role or the known leader changed.
    """

    def __init__(
        self,
        settings: ReplicaSettings,
        machine: StateMachine,
        storage: Storage,
        stored: StoredState,
        on_failed: Callable[[Exception], None],
        logger: Logger,
        times: RaftSettings = _DEFAULT_TIMES,
        on_role: Callable[[], None] = _ignore_role_change,
    ) -> None:
        """Restore the state machine; nothing is sent until it is started."""
        super().__init__()
        self._log = logger
        self._on_failed = on_failed
        self._raft = Raft(
            settings.name,
            [member.name for member in settings.members],
            stored,
            times,
            random.Random(stored.hard.incarnation),  # noqa: S311
        )
        self._applier = Applier(machine, stored.snapshot, logger)
        self._inbox: asyncio.Queue[RaftEvent] = asyncio.Queue()
        self._writer = DiskWriter(
            storage,
            lambda number: self._inbox.put_nowait(WritesSynced(number)),
            on_failed,
            logger,
        )
        self._links = Links(settings.members, logger)
        self._on_role = on_role
        self._requests = RequestRouter(
            self._raft.state,
            self._inbox.put_nowait,
            self._post_message,
        )
        self._reported_role = self._raft.state.role
        self._reported_leader: MemberId | None = None
        self._leader_missing_due_s = math.inf

    @property
    def is_leader(self) -> bool:
        """Whether this replica is the leader."""
        return self._raft.state.role is Role.LEADER

    @property
    def term(self) -> int:
        """The highest term that this replica has seen."""
        return self._raft.state.hard_state.term

    @property
    def leader(self) -> str:
        """Name of the leader, or an empty string if none is known."""
        leader = self._raft.state.leader
        return leader.name if leader else ''

    @property
    def peers(self) -> tuple[str, ...]:
        """Names of the voters and, on a leader, of the learners."""
        state = self._raft.state
        known = {voter.name for voter in state.log.voters}
        if state.leader_state is not None:
            known.update(member.name for member in state.leader_state.progress)
        return tuple(sorted(known))

    def hand_over(self) -> None:
        """Transfer leadership to another replica, if this one leads."""
        self._inbox.put_nowait(TransferLeadership())

    def note_peers(self, names: tuple[str, ...]) -> None:
        """Update the names of replicas that were discovered by other means.

        A replica without a vote asks them to let it join.
        """
        self._inbox.put_nowait(PeersDiscovered(names))

    @property
    def role(self) -> str:
        """Role of this replica, for display."""
        return self._raft.state.role.value

    @property
    def applied_index(self) -> int:
        """Index of the last entry applied on this replica."""
        return self._applier.index

    async def on_start(self) -> None:
        """Start the links and the disk writer."""
        for service in (self._writer, self._links):
            await self.add_runtime_dependency(service)

    def receive(self, message: RaftMessage) -> None:
        """Handle a message of another replica."""
        if not self._requests.receive(message):
            self._inbox.put_nowait(Received(message))

    async def propose(self, command: bytes) -> bytes:
        """Replicate a command and return the state machine's reply.

        Raises
        ------
        StateError
            With ``STATE_TOO_LARGE`` if the command is too large.  With
            ``STATE_NO_QUORUM`` if no quorum confirmed in time; the command
            may still be applied later, or never.
        """
        if len(command) > _MAX_COMMAND_BYTES:
            raise StateError(
                ResultCode.STATE_TOO_LARGE,
                f'{len(command)} bytes; allowed: {_MAX_COMMAND_BYTES}',
            )
        outcome = await self._requests.propose(command)
        if isinstance(outcome, Applied):
            return outcome.reply
        raise StateError(
            ResultCode.STATE_NO_QUORUM,
            'a quorum did not confirm; unknown whether it will be applied, '
            'resend with the same id to learn more',
        )

    async def read_barrier(self) -> None:
        """Wait until every command acknowledged so far is applied here.

        Raises
        ------
        StateError
            With ``STATE_NO_QUORUM`` if no leader confirmed in time, or this
            replica did not catch up in time.
        """
        outcome = await self._requests.read()
        if isinstance(outcome, ReadIndex):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_CATCH_UP_TIMEOUT_S):
                    await self._applier.wait_index(outcome.index)
                    return
        raise StateError(
            ResultCode.STATE_NO_QUORUM,
            'no leader confirmed that this is the newest state',
        )

    async def wait_applied(self, known_index: int) -> int:
        """Wait until an entry after ``known_index`` is applied.

        Returns
        -------
        int
            Index of the last applied entry.
        """
        return await self._applier.wait_index(known_index + 1)

    @mode.Service.task
    async def _run(self) -> None:
        tick_due_s = 0.0
        while not self.should_stop:
            events = await self._next_events(tick_due_s - time.monotonic())
            if time.monotonic() >= tick_due_s:
                tick_due_s = time.monotonic() + _TICK_S
                events.append(Tick())
            try:
                await self._step(events)
            except Exception as error:  # noqa: BLE001, W0718 - it must stop
                self._on_failed(error)
                raise

    async def _next_events(self, wait_s: float) -> list[RaftEvent]:
        events: list[RaftEvent] = []
        try:
            async with asyncio.timeout(max(wait_s, 0)):
                events.append(await self._inbox.get())
        except TimeoutError:
            return events
        while not self._inbox.empty():
            events.append(self._inbox.get_nowait())
        return events

    async def _step(self, events: Sequence[RaftEvent]) -> None:
        output = self._raft.step(events, time.monotonic())
        self._execute(output)
        await self._apply(output)
        self._report_role_change()

    def _execute(self, output: Output) -> None:
        self._writer.post(output.writes)
        for outgoing in output.messages:
            self._post_message(outgoing.target, outgoing.message)
        self._requests.handle_output(output)

    async def _apply(self, output: Output) -> None:
        if output.restored is not None:
            self._applier.restore(output.restored)
        for entry in output.committed:
            reply = self._applier.apply(entry)
            self._requests.handle_applied(entry, reply)
        if output.restored is not None or output.committed:
            await self._applier.notify_waiters()
        taken = self._applier.snapshot_if_due()
        if taken is not None:
            self._inbox.put_nowait(taken)

    def _post_message(self, name: str, message: RaftMessage) -> None:
        self._links.post(name, message)

    def _report_role_change(self) -> None:
        state = self._raft.state
        is_changed = state.role is not self._reported_role
        is_changed = is_changed or state.leader != self._reported_leader
        if state.role is not self._reported_role:
            self._reported_role = state.role
            self._log.info(
                LogEvent.ROLE_CHANGED,
                role=state.role.value,
                term=state.hard_state.term,
            )
        if state.leader != self._reported_leader:
            self._reported_leader = state.leader
            self._requests.handle_leader_change()
        self._warn_if_leader_missing(state)
        if is_changed:
            self._on_role()

    def _warn_if_leader_missing(self, state: RaftState) -> None:
        latest_s = state.now_s + _LEADER_MISSING_INTERVAL_S
        if state.leader:
            self._leader_missing_due_s = math.inf
        elif state.now_s < self._leader_missing_due_s:
            self._leader_missing_due_s = min(
                self._leader_missing_due_s, latest_s
            )
        else:
            self._leader_missing_due_s = latest_s
            self._log.warning(
                LogEvent.LEADER_MISSING,
                reason=_leader_missing_reason(state),
            )


def _leader_missing_reason(state: RaftState) -> str:
    if state.is_blank:
        return 'new replica: waits until all replicas have been started'
    if state.is_voter:
        return 'waits until a majority of the voters is reachable'
    return 'has no vote: waits until a leader brings it up to date'
