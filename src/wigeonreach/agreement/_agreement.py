"""Run the agreement: one task owns it, a thread writes for it."""

from __future__ import annotations

import asyncio
import contextlib
import math
import random
import time
from collections.abc import Callable, Sequence

import mode

from wigeonreach.agreement._applier import Applier
from wigeonreach.agreement._callers import Callers
from wigeonreach.agreement._disk_writer import DiskWriter
from wigeonreach.agreement._links import Links
from wigeonreach.agreement._raft import Raft
from wigeonreach.agreement._raft_state import RaftState
from wigeonreach.agreement._raft_types import (
    DiskDone,
    HandOver,
    Output,
    PeersKnown,
    RaftEvent,
    RaftSettings,
    Received,
    Role,
    Tick,
)
from wigeonreach.agreement._requests import Done, Readable
from wigeonreach.agreement._settings import ReplicaSettings
from wigeonreach.agreement._state_machine import StateMachine
from wigeonreach.agreement._storage import Storage, Stored
from wigeonreach.codes import ResultCode
from wigeonreach.exceptions import StateError
from wigeonreach.observe import LogEvent, Logger
from wigeonreach.wire._raft_messages import MemberId, RaftMessage

_DEFAULT_TIMES = RaftSettings()
_TICK_S = 0.05
_CATCH_UP_TIMEOUT_S = 2.5
_LEADER_MISSING_S = 10.0
_MAX_COMMAND_BYTES = 4 * 1024 * 1024


def _ignore() -> None:
    """Do nothing when the role changes."""


class RaftAgreement(mode.Service):
    """One replica of the agreement, with its disk and its links.

    Parameters
    ----------
    settings
        Who this replica is and where the others are.
    machine
        What is replicated.
    storage
        Its durable side.
    stored
        What the storage held at the start.
    on_failed
        Called with an error after which the process must not go on.
    logger
        Where events are logged.
    times
        Times and sizes of the agreement.
    on_role
        Called after the role or the leader changed.
    """

    def __init__(
        self,
        settings: ReplicaSettings,
        machine: StateMachine,
        storage: Storage,
        stored: Stored,
        on_failed: Callable[[Exception], None],
        logger: Logger,
        times: RaftSettings = _DEFAULT_TIMES,
        on_role: Callable[[], None] = _ignore,
    ) -> None:
        """Restore the state machine; nothing is sent before ``start``."""
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
            lambda number: self._inbox.put_nowait(DiskDone(number)),
            on_failed,
            logger,
        )
        self._links = Links(settings.members, logger)
        self._on_role = on_role
        self._callers = Callers(
            self._raft.state,
            self._inbox.put_nowait,
            self._post_message,
        )
        self._seen_role = self._raft.state.role
        self._seen_leader: MemberId | None = None
        self._leader_due_s = math.inf

    @property
    def is_leader(self) -> bool:
        """Whether this replica decides on changes now."""
        return self._raft.state.role is Role.LEADER

    @property
    def term(self) -> int:
        """The newest term that this replica knows."""
        return self._raft.state.hard.term

    @property
    def leader(self) -> str:
        """Name of the leader, or nothing if none is known."""
        leader = self._raft.state.leader
        return leader.name if leader else ''

    @property
    def peers(self) -> tuple[str, ...]:
        """Names of all replicas that this one knows of."""
        state = self._raft.state
        known = {voter.name for voter in state.log.voters}
        if state.leading is not None:
            known.update(member.name for member in state.leading.progress)
        return tuple(sorted(known))

    def hand_over(self) -> None:
        """Let another replica lead, if this one does."""
        self._inbox.put_nowait(HandOver())

    def note_peers(self, names: tuple[str, ...]) -> None:
        """Take note of other replicas that were heard of."""
        self._inbox.put_nowait(PeersKnown(names))

    @property
    def role(self) -> str:
        """Role of this replica, for people."""
        return self._raft.state.role.value

    @property
    def applied_index(self) -> int:
        """Index of the last entry that was applied here."""
        return self._applier.index

    async def on_start(self) -> None:
        """Start the links and the writer."""
        for service in (self._writer, self._links):
            await self.add_runtime_dependency(service)

    def receive(self, message: RaftMessage) -> None:
        """Take a message of another replica."""
        if not self._callers.receive(message):
            self._inbox.put_nowait(Received(message))

    async def propose(self, command: bytes) -> bytes:
        """Replicate a command and return the state machine's reply.

        Raises
        ------
        StateError
            With ``STATE_NO_QUORUM`` if no quorum confirmed in time: the
            command may still be applied later, or never.
        """
        if len(command) > _MAX_COMMAND_BYTES:
            raise StateError(
                ResultCode.STATE_TOO_LARGE,
                f'{len(command)} bytes; allowed: {_MAX_COMMAND_BYTES}',
            )
        outcome = await self._callers.propose(command)
        if isinstance(outcome, Done):
            return outcome.reply
        raise StateError(
            ResultCode.STATE_NO_QUORUM,
            'a quorum did not confirm; unknown whether it will be applied, '
            'resend with the same id to learn more',
        )

    async def read_barrier(self) -> None:
        """Wait until all that was acknowledged before is applied here.

        Raises
        ------
        StateError
            With ``STATE_NO_QUORUM`` if no leader confirmed in time.
        """
        outcome = await self._callers.read()
        if isinstance(outcome, Readable):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_CATCH_UP_TIMEOUT_S):
                    await self._applier.wait_index(outcome.index)
                    return
        raise StateError(
            ResultCode.STATE_NO_QUORUM,
            'no leader confirmed that this is the newest state',
        )

    async def wait_applied(self, known_index: int) -> int:
        """Wait until more than ``known_index`` is applied; return how far."""
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
        self._carry_out(output)
        await self._apply(output)
        self._note_role()

    def _carry_out(self, output: Output) -> None:
        self._writer.post(output.writes)
        for outgoing in output.messages:
            self._post_message(outgoing.target, outgoing.message)
        self._callers.note_output(output)

    async def _apply(self, output: Output) -> None:
        if output.restored is not None:
            self._applier.restore(output.restored)
        for entry in output.committed:
            reply = self._applier.apply(entry)
            self._callers.note_applied(entry, reply)
        if output.restored is not None or output.committed:
            await self._applier.tell_waiting()
        taken = self._applier.snapshot_if_due()
        if taken is not None:
            self._inbox.put_nowait(taken)

    def _post_message(self, name: str, message: RaftMessage) -> None:
        self._links.post(name, message)

    def _note_role(self) -> None:
        state = self._raft.state
        is_changed = state.role is not self._seen_role
        is_changed = is_changed or state.leader != self._seen_leader
        if state.role is not self._seen_role:
            self._seen_role = state.role
            self._log.info(
                LogEvent.ROLE_CHANGED,
                role=state.role.value,
                term=state.hard.term,
            )
        if state.leader != self._seen_leader:
            self._seen_leader = state.leader
            self._callers.note_other_leader()
        self._note_missing_leader(state)
        if is_changed:
            self._on_role()

    def _note_missing_leader(self, state: RaftState) -> None:
        latest_s = state.now_s + _LEADER_MISSING_S
        if state.leader:
            self._leader_due_s = math.inf
        elif state.now_s < self._leader_due_s:
            self._leader_due_s = min(self._leader_due_s, latest_s)
        else:
            self._leader_due_s = latest_s
            self._log.warning(
                LogEvent.LEADER_MISSING,
                reason=_waits_for(state),
            )


def _waits_for(state: RaftState) -> str:
    if state.is_blank:
        return 'new: waits until all replicas were started once'
    if state.is_voter:
        return 'waits until a majority can be reached'
    return 'has no vote: waits until a leader brings it up to date'
