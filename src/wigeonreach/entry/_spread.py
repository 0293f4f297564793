"""Pass on what targets announced, and count how long that took."""

from __future__ import annotations

import time
from collections.abc import Iterator

import mode
import msgspec

from wigeonreach.entry._member import aged
from wigeonreach.entry._membership import Membership, Merge
from wigeonreach.entry._pause import PauseWatch
from wigeonreach.entry._peers import PeerExchange
from wigeonreach.entry._target_state import TargetAnswered
from wigeonreach.observe import LogEvent, Logger, Metrics
from wigeonreach.wire._base import WireMessage
from wigeonreach.wire._peer_messages import PeerHello
from wigeonreach.wire._target_messages import (
    Renewal,
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
_PASSED_ON_WHOLE = frozenset((Merge.JOINED, Merge.CHANGED, Merge.LEFT))


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
        self._renewed: set[str] = set()
        peers.handle(Targets, self._on_targets)
        peers.handle(Renewals, self._on_renewals)
        peers.sync_with(self._sync)
        peers.after_heartbeat(self._on_contact)
        peers.on_peer_restart(self._on_restart)
        self._extend_contact()

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
        merged = self._merge(
            msgspec.structs.replace(record, age_s=waited_s),
            now_s,
        )
        self._metrics.count('announcements', merged.name.lower())
        if merged in _PASSED_ON_WHOLE:
            self._post((record.target_id,), now_s)
        elif merged is Merge.RENEWED:
            self._renewed.add(record.target_id)
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
            self._post((left.target_id,), time.monotonic())

    @mode.Service.task
    async def _keep_ticking(self) -> None:
        ticks = 0
        while not self.should_stop:
            await self.sleep(_TICK_S)
            ticks += 1
            now_s = time.monotonic()
            self._pause.tick(now_s)
            if ticks % _TICKS_PER_BATCH == 0:
                self._post_renewals(now_s)
            if ticks % _TICKS_PER_EXPIRY == 0:
                self._expire(now_s)

    def _expire(self, now_s: float) -> None:
        for record in self._membership.expire(now_s):
            self._log.info(LogEvent.TARGET_EXPIRED, target=record.target_id)

    def _on_contact(self, _hello: PeerHello, _message: WireMessage) -> None:
        self._extend_contact()

    def _extend_contact(self) -> None:
        self._membership.extend_contact(self._peers.zone_contact_until_s())

    def _on_restart(self, name: str) -> None:
        if name in self._peers.zone_names:
            self._membership.distrust(time.monotonic())
            self._extend_contact()

    def _sync(self, name: str) -> Iterator[WireMessage]:
        if name in self._peers.zone_names:
            records = self._membership.records(time.monotonic())
            yield self._addressed(name, records)

    def _post(self, target_ids: tuple[str, ...], now_s: float) -> None:
        found = (self._membership.find(one) for one in target_ids)
        records = tuple(aged(one, now_s) for one in found if one is not None)
        for name in self._peers.zone_names:
            self._peers.post(name, self._addressed(name, records))

    def _post_renewals(self, now_s: float) -> None:
        found = (self._membership.find(one) for one in self._renewed)
        renewals = tuple(
            Renewal(
                one.record.target_id,
                one.record.incarnation_ns,
                one.record.sequence,
                now_s - one.seen_s,
            )
            for one in found
            if one is not None
        )
        self._renewed.clear()
        if not renewals:
            return
        for name in self._peers.zone_names:
            contact = self._peers.contacts.peer(name)
            self._peers.post(
                name,
                Renewals(
                    renewals,
                    contact.their_sent_s,
                    contact.incarnation_ns,
                ),
            )

    def _addressed(
        self,
        name: str,
        records: tuple[TargetRecord, ...],
    ) -> Targets:
        contact = self._peers.contacts.peer(name)
        return Targets(records, contact.their_sent_s, contact.incarnation_ns)

    def _on_targets(self, _hello: PeerHello, targets: Targets) -> None:
        now_s = time.monotonic()
        under_way_s = self._under_way_s(targets, now_s)
        for record in targets.records:
            older = msgspec.structs.replace(
                record,
                age_s=record.age_s + under_way_s,
            )
            self._merge(older, now_s)

    def _on_renewals(self, _hello: PeerHello, batch: Renewals) -> None:
        now_s = time.monotonic()
        under_way_s = self._under_way_s(batch, now_s)
        for renewal in batch.renewals:
            self._membership.renew(
                msgspec.structs.replace(
                    renewal,
                    age_s=renewal.age_s + under_way_s,
                ),
                now_s,
            )

    def _under_way_s(self, batch: Targets | Renewals, now_s: float) -> float:
        """Return the longest time that a batch can have been under way."""
        if batch.echo_incarnation_ns == self._peers.incarnation_ns:
            return now_s - batch.echo_s
        # Without an echo nothing is known of the age, and no lease is left.
        return float('inf')

    def _merge(self, record: TargetRecord, now_s: float) -> Merge:
        merged = self._membership.merge(record, now_s)
        if merged is Merge.JOINED and record.state is TargetState.SERVING:
            self._log.info(LogEvent.TARGET_JOINED, target=record.target_id)
        elif merged is Merge.LEFT:
            self._log.info(LogEvent.TARGET_LEAVING, target=record.target_id)
        return merged
