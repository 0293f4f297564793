"""Run a core process: a replica that decides while it leads."""

from __future__ import annotations

import asyncio
import os

import mode

from wigeonreach.agreement import FolderDisk, SpaceWatch
from wigeonreach.codes import ExitCode
from wigeonreach.core._advising import Advising, AdvisorApi
from wigeonreach.core._call_handler import CallHandler
from wigeonreach.core._clock import DayClock, steady_s
from wigeonreach.core._opening import open_agreement
from wigeonreach.core._server import CoreServer
from wigeonreach.core._settings import CoreSettings
from wigeonreach.core._term import LeaderTerm
from wigeonreach.core._vm_actions import VmActions
from wigeonreach.core._vm_holds import VmHolds
from wigeonreach.core._vm_orders import VmOrders
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

_FORGET_S = 5.0
_CLOCK_S = 1.0
_SPACE_S = 1.0
# A caller is told within the time that its shortest wait allows (1 s).
_RELAY_TIMEOUT_S = 0.9
# An election that nobody contests takes a few syncs and messages.
_HAND_OVER_S = 1.0
_HAND_OVER_POLL_S = 0.1
# Workers and entries that have not heard of the next leader still call here.
_PASS_ON_S = 1.0
_NO_LEADER = NotDone(WhyNot.NO_LEADER)


class Core(mode.Service):
    """One core process.

    Parameters
    ----------
    settings
        Who it is.
    api
        How VMs are maintained and moved.
    advisor
        Who knows which workers may run some queues' steps.
    logger, metrics
        Where events are logged and counted.
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
            self._leave,
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
            self._notice,
            self._agreement.receive,
            self.handle,
        )
        self._holds = VmHolds(self._store, settings.order_pause_s)
        self._term: LeaderTerm | None = None
        self._handler: CallHandler | None = None
        self._leading: asyncio.Task[None] | None = None
        self._told_peers: tuple[str, ...] = ()
        self._day_clock = DayClock(logger, metrics)

    @property
    def is_leading(self) -> bool:
        """Whether this process decides now."""
        term = self._term
        return term is not None and term.has_begun and self._agreement.is_leader

    async def on_start(self) -> None:
        """Listen and take part in the agreement."""
        for service in (self._agreement, self._server, self._gateway):
            await self.add_runtime_dependency(service)

    async def drain(self) -> None:
        """Let another process lead, and pass calls on for a while."""
        due_s = steady_s() + _HAND_OVER_S
        while self._agreement.is_leader and steady_s() < due_s:
            self._agreement.hand_over()
            await asyncio.sleep(_HAND_OVER_POLL_S)
        await asyncio.sleep(_PASS_ON_S)

    async def on_shutdown(self) -> None:
        """Give the data folder up, once nothing writes to it any more."""
        self._disk.close()

    def change_seeds(self, seeds: tuple[str, ...]) -> None:
        """Take other seeds."""
        self._gateway.change_seeds(seeds)

    async def call(self, call: AnyCall, timeout_s: float) -> AnyReply:
        """Answer a call of a caller, a worker or an operator."""
        if self.is_leading:
            reply = await self._answer_in(call, timeout_s)
            if not lacks_leader(reply):
                return reply
        reply = await self._gateway.call(call, timeout_s)
        return self._with_next_core(reply)

    async def handle(self, call: AnyCall, hops_left: int) -> AnyReply:
        """Answer a call that another process passed on."""
        if self.is_leading:
            return await self._answer(call)
        if hops_left > 0 and self._agreement.leader != self._settings.name:
            return await self._gateway.call(call, _RELAY_TIMEOUT_S)
        return _NO_LEADER

    @mode.Service.timer(_CLOCK_S)
    async def _look_at_clock(self) -> None:
        # Also while another process leads: who takes over knows the time.
        self._day_clock.now_ms()

    @mode.Service.timer(_FORGET_S)
    async def _forget(self) -> None:
        term = self._term
        if self.is_leading and term is not None:
            try:
                await term.forget_ended()
            except StateError as error:
                self._log.warning(LogEvent.CALL_FAILED, reason=str(error))

    @mode.Service.timer(_SPACE_S)
    async def _watch_space(self) -> None:
        try:
            space = self._disk.space()
        except OSError as error:
            # Files come and go; it is looked at again soon.
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
    async def _tend(self) -> None:
        if self._leading is None:
            # Only a leader looks at what changed.
            self._store.changed.clear()
        self._holds.refresh(steady_s())
        cores = self._gateway.cores
        if cores != self._told_peers:
            self._told_peers = cores
            self._agreement.note_peers(cores)

    async def _answer_in(self, call: AnyCall, timeout_s: float) -> AnyReply:
        try:
            async with asyncio.timeout(timeout_s):
                return await self._answer(call)
        except TimeoutError:
            # Whoever asked has gone: not to be passed on as lacking a leader.
            return Unknown()

    async def _answer(self, call: AnyCall) -> AnyReply:
        assert self._handler is not None
        try:
            reply = await self._handler.answer(call)
        except StateError as error:
            self._metrics.count('calls_failed', 'no-quorum')
            self._log.warning(
                LogEvent.CALL_FAILED,
                call=type(call).__name__,
                reason=str(error),
            )
            # A call that only reads had no effect that anybody could miss.
            return _NO_LEADER if isinstance(call, READS) else Unknown()
        if isinstance(call, PutManifest):
            # Before the acknowledgement: an entry repeats no refusal that was
            # given under an older manifest.
            self._server.tell()
        return reply

    def _with_next_core(self, reply: AnyReply) -> AnyReply:
        """Tell a worker who leads, which saves its next heartbeat a hop."""
        leader = self._agreement.leader
        has_api = self._settings.api_port > 0
        if not isinstance(reply, Orders) or not leader or not has_api:
            return reply
        host = parse_address(leader, 'leader').host
        address = f'{host}:{self._settings.api_port}'
        return Orders(reply.orders.towards(address))

    def _notice(self) -> CoreNotice:
        return CoreNotice(
            self._reachable_leader(),
            tuple(sorted({*self._agreement.peers, *self._gateway.cores})),
            self._agreement.term,
            self._store.manifest.version,
        )

    def _reachable_leader(self) -> str:
        """Return the leader, unless calls from here would not reach it."""
        leader = self._agreement.leader
        if leader == self._settings.name:
            return leader if self.is_leading else ''
        return leader if self._gateway.reaches(leader) else ''

    def _on_role(self) -> None:
        if self._leading is not None and not self._is_term_over():
            return
        if self._leading is not None:
            self._end_term()
        if self._agreement.is_leader:
            self._begin_term()
        self._server.tell()

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
            self._day_clock,
            self._log,
            self._metrics,
        )
        self._term = term
        self._handler = CallHandler(term, self._store, self._log, self._metrics)
        self._leading = asyncio.create_task(self._lead(term))
        self._leading.add_done_callback(self._on_lead_end)

    def _on_lead_end(self, leading: asyncio.Task[None]) -> None:
        # A leader that does not decide would hold everything up.
        error = None if leading.cancelled() else leading.exception()
        if isinstance(error, Exception):
            self._leave(error)

    def _end_term(self) -> None:
        assert self._leading is not None
        self._leading.cancel()
        self._leading = None
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
        self._server.tell()
        vm_actions = VmActions(
            term,
            self._store,
            self._api,
            VmOrders(
                term,
                self._holds,
                self._log,
                self._metrics,
            ),
            self._log,
            self._metrics,
        )
        advising = Advising(term, self._advisor, self._metrics)
        async with asyncio.TaskGroup() as group:
            group.create_task(term.run())
            group.create_task(vm_actions.run())
            group.create_task(advising.run())

    def _leave(self, error: Exception) -> None:
        # After a failed sync nothing in memory may be told to anybody.
        self._log.warning(LogEvent.REPLICA_FAILED, reason=repr(error))
        os._exit(ExitCode.FAILED)  # noqa: SLF001, WPS437
