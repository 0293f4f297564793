"""Core process: a replica that makes all decisions while it leads."""

from __future__ import annotations

import asyncio
import os

import mode

from wigeonreach.agreement import FolderDisk, SpaceWatch
from wigeonreach.codes import ExitCode
from wigeonreach.core._advice_poller import AdvisorApi
from wigeonreach.core._call_handler import CallHandler
from wigeonreach.core._clock import WallClock, steady_s
from wigeonreach.core._decision_guard import DecisionGuard
from wigeonreach.core._leader_tasks import LeaderClients, run_leader_tasks
from wigeonreach.core._replica_setup import open_agreement
from wigeonreach.core._server import CoreServer
from wigeonreach.core._settings import CoreSettings
from wigeonreach.core._term import LeaderTerm
from wigeonreach.core._vm_holds import VmHolds
from wigeonreach.exceptions import StateError
from wigeonreach.gateway import Gateway
from wigeonreach.jobs import JobStore
from wigeonreach.observe import LogEvent, Logger, Metrics
from wigeonreach.scheduling._vms import VmApi
from wigeonreach.wire import parse_address
from wigeonreach.wire._call_messages import (
    READS,
    AnyCall,
    CoreNotice,
    PutManifest,
)
from wigeonreach.wire._call_replies import (
    AnyReply,
    NotDone,
    Orders,
    Unknown,
    WhyNot,
    lacks_leader,
)

_FORGET_INTERVAL_S = 5.0
_CLOCK_INTERVAL_S = 1.0
_DISK_CHECK_INTERVAL_S = 1.0
# Shorter than the timeouts of the control API (0.92 s) and its callers (1 s).
# A client may set a shorter one, down to 0.1 s.
_RELAY_TIMEOUT_S = 0.9
# An uncontested election takes a few disk syncs and messages.
_HAND_OVER_TIMEOUT_S = 1.0
_HAND_OVER_POLL_S = 0.1
# Workers and entry processes call here until they know the next leader.
_RELAY_GRACE_S = 1.0
_NO_LEADER = NotDone(WhyNot.NO_LEADER)


class Core(mode.Service):
    """One core process.

    Parameters
    ----------
    settings
        Identity and configuration of the process.
    api
        Platform API that maintains and moves VMs.
    advisor
        Service that knows which workers may run the steps of some queues.
    logger, metrics
        Log and count events.
    """

    def __init__(
        self,
        settings: CoreSettings,
        api: VmApi,
        advisor: AdvisorApi,
        logger: Logger,
        metrics: Metrics,
    ) -> None:
        """Open the data folder; nothing is served before ``start``."""
        super().__init__()
        self._settings = settings
        self._api = api
        self._advisor = advisor
        self._log = logger
        self._metrics = metrics
        self._store = JobStore()
        self._disk = FolderDisk(settings.data_folder)
        self._space = SpaceWatch()
        self._agreement = open_agreement(
            settings,
            self._store,
            self._disk,
            self._abort_process,
            self._on_role,
            logger,
        )
        self._gateway = Gateway(
            settings.name,
            settings.seeds,
            logger,
            metrics,
        )
        self._server = CoreServer(
            settings.listen,
            self._build_notice,
            self._agreement.receive,
            self.handle,
            logger,
        )
        self._vm_holds = VmHolds(self._store, settings.order_pause_s)
        self._term: LeaderTerm | None = None
        self._handler: CallHandler | None = None
        self._lead_task: asyncio.Task[None] | None = None
        self._known_cores: tuple[str, ...] = ()
        self._wall_clock = WallClock(logger, metrics)
        self._guard = DecisionGuard(logger, metrics)

    @property
    def is_leading(self) -> bool:
        """Whether this process is the leader and its term has begun."""
        term = self._term
        return term is not None and term.has_begun and self._agreement.is_leader

    async def on_start(self) -> None:
        """Start the replica, the server and the gateway."""
        for service in (self._agreement, self._server, self._gateway):
            await self.add_runtime_dependency(service)

    async def drain(self) -> None:
        """Hand leadership over, then forward calls for a while."""
        due_s = steady_s() + _HAND_OVER_TIMEOUT_S
        while self._agreement.is_leader and steady_s() < due_s:
            self._agreement.hand_over()
            await asyncio.sleep(_HAND_OVER_POLL_S)
        await asyncio.sleep(_RELAY_GRACE_S)

    async def on_shutdown(self) -> None:
        """Close the data folder, once nothing writes to it any more."""
        self._disk.close()

    def change_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seeds."""
        self._gateway.change_seeds(seeds)

    async def call(self, call: AnyCall, timeout_s: float) -> AnyReply:
        """Handle a call of a worker or an operator."""
        if self.is_leading:
            reply = await self._answer_within(call, timeout_s)
            if not lacks_leader(reply):
                return reply
        reply = await self._gateway.call(call, timeout_s)
        return self._with_leader_address(reply)

    async def handle(self, call: AnyCall, hops_left: int) -> AnyReply:
        """Handle a call that another process forwarded."""
        if self.is_leading:
            return await self._answer(call)
        if hops_left > 0 and self._agreement.leader != self._settings.name:
            return await self._gateway.call(call, _RELAY_TIMEOUT_S)
        return _NO_LEADER

    @mode.Service.timer(_CLOCK_INTERVAL_S)
    async def _sample_clock(self) -> None:
        # Also sampled while following, so that a new leader has a valid offset.
        self._wall_clock.now_ms()

    @mode.Service.timer(_FORGET_INTERVAL_S)
    async def _forget_ended_jobs(self) -> None:
        term = self._term
        if self.is_leading and term is not None:
            try:
                await term.forget_ended()
            except StateError as error:
                self._log.warning(LogEvent.CALL_FAILED, reason=str(error))

    @mode.Service.timer(_DISK_CHECK_INTERVAL_S)
    async def _check_disk_space(self) -> None:
        try:
            space = self._disk.space()
        except OSError as error:
            # Files may vanish during the scan; the next check repeats it.
            self._log.warning(LogEvent.DISK_REFUSED, reason=str(error))
            return
        self._metrics.gauge('disk_used_bytes', space.used_bytes)
        self._metrics.gauge('disk_free_bytes', space.free_bytes)
        if self._space.note(space):
            low, back = LogEvent.DISK_LOW, LogEvent.DISK_SPACE_BACK
            self._log.warning(
                low if space.is_low else back,
                used_bytes=space.used_bytes,
                free_bytes=space.free_bytes,
            )

    @mode.Service.timer(0.2)
    async def _refresh_state(self) -> None:
        if self._lead_task is None:
            # The changed jobs are for a leader's scheduler, which clears them;
            # in a follower, nothing else would.
            self._store.changed_jobs.clear()
        elif self._guard.takes_hand_over(steady_s()):
            self._agreement.hand_over()
        self._vm_holds.refresh(steady_s())
        cores = self._gateway.cores
        if cores != self._known_cores:
            self._known_cores = cores
            self._agreement.note_peers(cores)

    async def _answer_within(self, call: AnyCall, timeout_s: float) -> AnyReply:
        try:
            async with asyncio.timeout(timeout_s):
                return await self._answer(call)
        except TimeoutError:
            # Not a reply that lacks a leader: the call would then be forwarded,
            # although its caller has timed out.
            return Unknown()

    async def _answer(self, call: AnyCall) -> AnyReply:
        assert self._handler is not None
        try:
            reply = await self._handler.handle(call)
        except StateError as error:
            self._metrics.count('calls_failed', 'no-quorum')
            self._log.warning(
                LogEvent.CALL_FAILED,
                call=type(call).__name__,
                reason=str(error),
            )
            # Nobody depends on the effect of a read or a heartbeat, so these
            # may be reported as not done.
            return _NO_LEADER if isinstance(call, READS) else Unknown()
        if isinstance(call, PutManifest):
            # Before the acknowledgement, so that entry processes drop denials
            # cached under the older manifest.
            self._server.send_notices()
        return reply

    def _with_leader_address(self, reply: AnyReply) -> AnyReply:
        """Add the leader's address to a worker's orders.

        The worker's next heartbeat then goes to the leader directly.  All core
        processes serve workers on the same port.
        """
        leader = self._agreement.leader
        has_api = self._settings.api_port > 0
        if not isinstance(reply, Orders) or not leader or not has_api:
            return reply
        host = parse_address(leader, 'leader').host
        address = f'{host}:{self._settings.api_port}'
        return Orders(reply.orders.towards(address))

    def _build_notice(self) -> CoreNotice:
        return CoreNotice(
            self._reachable_leader(),
            tuple(sorted({*self._agreement.peers, *self._gateway.cores})),
            self._agreement.term,
            self._store.manifest.version,
        )

    def _reachable_leader(self) -> str:
        """Return the leader, or an empty string if it is unreachable."""
        leader = self._agreement.leader
        if leader == self._settings.name:
            return leader if self.is_leading else ''
        return leader if self._gateway.reaches(leader) else ''

    def _on_role(self) -> None:
        if self._lead_task is not None and not self._is_term_over():
            return
        if self._lead_task is not None:
            self._end_term()
        if self._agreement.is_leader:
            self._begin_term()
        self._server.send_notices()

    def _is_term_over(self) -> bool:
        term = self._term
        if term is None or not self._agreement.is_leader:
            return True
        return term.term != self._agreement.term

    def _begin_term(self) -> None:
        term = LeaderTerm(
            self._agreement,
            self._store,
            self._agreement.term,
            self._settings.scheduling,
            self._wall_clock,
            self._log,
            self._metrics,
            self._guard,
        )
        self._term = term
        self._handler = CallHandler(term, self._store, self._log, self._metrics)
        self._lead_task = asyncio.create_task(self._lead(term))
        self._lead_task.add_done_callback(self._on_lead_task_done)

    def _on_lead_task_done(self, lead_task: asyncio.Task[None]) -> None:
        # A leader that makes no decisions would block the whole system.
        error = None if lead_task.cancelled() else lead_task.exception()
        if isinstance(error, Exception):
            self._abort_process(error)

    def _end_term(self) -> None:
        assert self._lead_task is not None
        self._lead_task.cancel()
        self._lead_task = None
        self._log.info(
            LogEvent.TERM_ENDED,
            term=self._term.term if self._term else 0,
            leader=self._agreement.leader,
        )
        self._term = None

    async def _lead(self, term: LeaderTerm) -> None:
        while not term.has_begun:
            try:
                await term.begin()
            except StateError as error:
                self._log.warning(LogEvent.CALL_FAILED, reason=str(error))
        self._server.send_notices()
        await run_leader_tasks(
            term,
            self._store,
            LeaderClients(self._api, self._advisor),
            self._vm_holds,
            self._log,
            self._metrics,
        )

    def _abort_process(self, error: Exception) -> None:
        # After a failed disk sync, no state in memory may be exposed; after a
        # bug in the leading task, another process has to lead.
        self._log.warning(LogEvent.REPLICA_FAILED, reason=repr(error))
        os._exit(ExitCode.FAILED)  # noqa: SLF001, WPS437
