"""Carry what targets announced between this entry and its peers."""

from __future__ import annotations

import time
from collections.abc import Iterable

import mode
import msgspec

from wigeonreach.entry._membership import Membership, Merge
from wigeonreach.entry._pause import PauseWatch
from wigeonreach.entry._peers import PeerExchange
from wigeonreach.entry._spreading import Merged, Spreading, ToPeer
from wigeonreach.entry._target_state import TargetAnswered
from wigeonreach.observe import LogEvent, Logger, Metrics
from wigeonreach.wire._base import WireMessage
from wigeonreach.wire._peer_messages import PeerHello
from wigeonreach.wire._target_messages import (
    Renewals,
    TargetRecord,
    Targets,
    TargetState,
)

_TICK_S = 0.1
_TICKS_PER_BATCH = 3
_TICKS_PER_EXPIRY = 5
# A leaving target is answered within this, told or not told.
_CONFIRM_S = 0.4


class Spread(mode.Service):
    """Keep the membership of this entry and of its zone's peers alike.

    Parameters
    ----------
    membership
        Table that is kept up to date.
    peers
        Channels to the other entries.
    metrics
        Counters of what announcements changed.
    logger
        Where events are logged.
    """

    def __init__(
        self,
        membership: Membership,
        peers: PeerExchange,
        metrics: Metrics,
        logger: Logger,
    ) -> None:
        """Take over the handling of messages about targets."""
        super().__init__()
        self._membership = membership
        self._peers = peers
        self._metrics = metrics
        self._log = logger
        self._pause = PauseWatch(time.monotonic())
        self._spreading = Spreading(
            membership,
            peers.contacts,
            peers.incarnation_ns,
            peers.zone_names,
        )
        peers.handle(Targets, self._on_targets)
        peers.handle(Renewals, self._on_renewals)
        peers.sync_with(self._sync)
        peers.after_heartbeat(self._on_contact)
        peers.on_peer_restart(self._on_restart)
        self._spreading.extend_contact()
        # What a former process of this entry was told is forgotten.
        membership.distrust(time.monotonic())

    def learn(self, record: TargetRecord) -> Merge:
        """Merge what a target announced here and pass it on.

        Parameters
        ----------
        record
            What the target announced.

        Returns
        -------
        Merge
            What the announcement changed here.
        """
        now_s = time.monotonic()
        waited_s = now_s - self._pause.arrived_s(now_s)
        merged, outgoing = self._spreading.learn(
            msgspec.structs.replace(record, age_s=waited_s),
            now_s,
        )
        self._metrics.count('announcements', merged.name.lower())
        self._log_merged(Merged(record, merged))
        self._post(outgoing)
        return merged

    async def is_known_everywhere(self, state: TargetState) -> bool:
        """Whether each entry of the zone knows what was announced here.

        For a leave this waits until each has confirmed it.  For the rest it
        is enough that none is out of contact.
        """
        if state is TargetState.LEAVING:
            return await self._peers.confirm(_CONFIRM_S)
        return self._peers.is_zone_in_contact(time.monotonic())

    def see(self, answered: TargetAnswered) -> None:
        """Take what a target said of itself in an answer to this entry."""
        left = self._membership.see(answered)
        if left is not None:
            self._metrics.count('announcements', 'seen_leaving')
            self._log.info(LogEvent.TARGET_LEAVING, target=left.target_id)
            self._post(
                self._spreading.tell(left.target_id, time.monotonic()),
            )

    @mode.Service.task
    async def _keep_ticking(self) -> None:
        ticks = 0
        while not self.should_stop:
            await self.sleep(_TICK_S)
            ticks += 1
            now_s = time.monotonic()
            self._pause.tick(now_s)
            if ticks % _TICKS_PER_BATCH == 0:
                self._post(self._spreading.take_renewed(now_s))
            if ticks % _TICKS_PER_EXPIRY == 0:
                self._expire(now_s)

    def _expire(self, now_s: float) -> None:
        for record in self._membership.expire(now_s):
            self._log.info(LogEvent.TARGET_EXPIRED, target=record.target_id)

    def _on_contact(self, _hello: PeerHello, _message: WireMessage) -> None:
        self._spreading.extend_contact()

    def _on_restart(self, name: str) -> None:
        self._spreading.on_restart(name, time.monotonic())

    def _sync(self, name: str) -> Iterable[WireMessage]:
        return self._spreading.sync(name, time.monotonic())

    def _on_targets(self, _hello: PeerHello, targets: Targets) -> None:
        for merged in self._spreading.on_targets(targets, time.monotonic()):
            self._log_merged(merged)

    def _on_renewals(self, _hello: PeerHello, batch: Renewals) -> None:
        self._spreading.on_renewals(batch, time.monotonic())

    def _post(self, outgoing: list[ToPeer]) -> None:
        for one in outgoing:
            self._peers.post(one.peer, one.message)

    def _log_merged(self, merged: Merged) -> None:
        record = merged.record
        is_serving = record.state is TargetState.SERVING
        if merged.merge is Merge.JOINED and is_serving:
            self._log.info(LogEvent.TARGET_JOINED, target=record.target_id)
        elif merged.merge is Merge.LEFT:
            self._log.info(LogEvent.TARGET_LEAVING, target=record.target_id)
