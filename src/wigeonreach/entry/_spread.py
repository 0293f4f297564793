"""Pass on what targets announced, and count how long that took."""

from __future__ import annotations

import time
from collections.abc import Iterator

import msgspec

from wigeonreach.entry._membership import Membership, Merge
from wigeonreach.entry._peers import PeerExchange
from wigeonreach.observe import LogEvent, Logger
from wigeonreach.wire._peer_messages import PeerHello
from wigeonreach.wire._target_messages import (
    TargetRecord,
    Targets,
    TargetState,
)


class Spread:
    """Keep the membership of this entry and of its peers alike.

    Parameters
    ----------
    membership
        Table that is kept up to date.
    peers
        Channels to the other entries.
    logger
        Where events are logged.
    """

    def __init__(
        self,
        membership: Membership,
        peers: PeerExchange,
        logger: Logger,
    ) -> None:
        """Take over the handling of messages about targets."""
        self._membership = membership
        self._peers = peers
        self._log = logger
        peers.handle(Targets, self._on_targets)
        peers.sync_with(self._sync)

    def learn(self, record: TargetRecord) -> None:
        """Merge what a target announced here and tell the zone."""
        self._merge(record, time.monotonic())
        for name in self._peers.zone_names:
            self._peers.post(name, self._addressed(name, (record,)))

    def _sync(self, name: str) -> Iterator[Targets]:
        if name in self._peers.zone_names:
            records = self._membership.records(time.monotonic())
            yield self._addressed(name, records)

    def _addressed(
        self,
        name: str,
        records: tuple[TargetRecord, ...],
    ) -> Targets:
        contact = self._peers.contacts.peer(name)
        return Targets(records, contact.their_sent_s, contact.incarnation_ns)

    def _on_targets(self, _hello: PeerHello, targets: Targets) -> None:
        now_s = time.monotonic()
        # Without an echo nothing is known of the age, and no lease is left.
        sent_s = float('-inf')
        if targets.echo_incarnation_ns == self._peers.incarnation_ns:
            sent_s = targets.echo_s
        for record in targets.records:
            self._merge(_aged(record, now_s - sent_s), now_s)

    def _merge(self, record: TargetRecord, now_s: float) -> None:
        merged = self._membership.merge(record, now_s)
        if merged is Merge.JOINED and record.state is TargetState.SERVING:
            self._log.info(LogEvent.TARGET_JOINED, target=record.target_id)
        elif merged is Merge.LEFT:
            self._log.info(LogEvent.TARGET_LEAVING, target=record.target_id)


def _aged(record: TargetRecord, age_s: float) -> TargetRecord:
    return msgspec.structs.replace(
        record,
        lease_left_s=max(0.0, record.lease_left_s - age_s),
    )
