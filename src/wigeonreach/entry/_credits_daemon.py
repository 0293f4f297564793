"""Exchange slot loans with the other entries."""

from __future__ import annotations

import time

import mode

from wigeonreach.entry._peers import PeerExchange
from wigeonreach.entry._routing import Router
from wigeonreach.entry._slots import TargetKey
from wigeonreach.observe import LogEvent, Logger, Metrics
from wigeonreach.wire._credit_messages import (
    SlotsAsked,
    SlotsLent,
    SlotsReturned,
    TargetFirstSeen,
)
from wigeonreach.wire._peer_messages import PeerHello
from wigeonreach.wire._target_messages import TargetRecord

_TICK_S = 0.05
_FIRST_SEQUENCE = 1


class CreditDaemon(mode.Service):
    """Exchanges slot loan messages between the router and the peers.

    Parameters
    ----------
    router
        Router whose slots are lent and borrowed.
    peers
        Channels to the other entries.
    metrics
        Counters of loans and of ejected targets.
    logger
        Log for ejected and restored targets.
    """

    def __init__(
        self,
        router: Router,
        peers: PeerExchange,
        metrics: Metrics,
        logger: Logger,
    ) -> None:
        """Register the handlers of slot loan messages."""
        super().__init__()
        self._metrics = metrics
        self._log = logger
        self._ejected: frozenset[TargetKey] = frozenset()
        self._router = router
        self._credits = router.credits
        self._peers = peers
        peers.handle(SlotsAsked, self._on_asked)
        peers.handle(SlotsLent, self._on_lent)
        peers.handle(SlotsReturned, self._on_returned)
        peers.handle(TargetFirstSeen, self._on_first_seen)
        peers.on_refused(self._credits.note_refused)
        peers.on_connected(self._credits.note_connected)

    def note_announced(self, record: TargetRecord) -> None:
        """Handle an announcement that a target sent to this entry.

        The first announcement of an incarnation proves that no entry, nor an
        earlier incarnation of one, has a request in flight at the target.  It
        is relayed only on channels that are open now, so that no entry receives
        it that starts later, when requests may already be in flight there.
        """
        if record.sequence != _FIRST_SEQUENCE:
            return
        key = TargetKey(record.target_id, record.incarnation_ns)
        self._credits.note_first_seen(key)
        self._peers.post_to_zone(
            TargetFirstSeen(record.target_id, record.incarnation_ns),
        )

    @mode.Service.task
    async def _tick(self) -> None:
        while not self.should_stop:
            for outgoing in self._router.tick(time.monotonic()):
                self._peers.post(outgoing.peer, outgoing.message)
            self._log_ejections()
            await self.sleep(_TICK_S)

    def _on_asked(self, hello: PeerHello, asked: SlotsAsked) -> None:
        lent = self._credits.on_asked(asked, time.monotonic())
        if lent is None:
            self._count_loans('overtaken', 1)
            return
        self._count_loans('lent', len(lent.loans))
        self._count_loans('renewed', len(lent.renewed))
        self._count_loans(
            'not_renewed', len(asked.renewals) - len(lent.renewed)
        )
        requested = sum(wish.count for wish in asked.wishes)
        self._count_loans('refused', requested - len(lent.loans))
        self._peers.post(hello.process, lent)

    def _on_lent(self, _hello: PeerHello, lent: SlotsLent) -> None:
        self._count_loans('borrowed', len(lent.loans))
        self._credits.on_lent(lent, time.monotonic())

    def _on_returned(self, _hello: PeerHello, returned: SlotsReturned) -> None:
        self._count_loans('returned', len(returned.loan_ids))
        self._credits.on_returned(returned)

    def _on_first_seen(self, _hello: PeerHello, seen: TargetFirstSeen) -> None:
        self._credits.note_first_seen(
            TargetKey(seen.target_id, seen.incarnation_ns),
        )

    def _count_loans(self, reason: str, amount: int) -> None:
        if amount:
            self._metrics.count('slot_loans', reason, amount)

    def _log_ejections(self) -> None:
        ejected = self._router.ejected_targets()
        for key in ejected - self._ejected:
            self._metrics.count('targets_ejected')
            self._log.warning(LogEvent.TARGET_EJECTED, target=key.target_id)
        for restored in self._ejected - ejected:
            self._log.info(
                LogEvent.TARGET_RESTORED,
                target=restored.target_id,
            )
        self._ejected = ejected
