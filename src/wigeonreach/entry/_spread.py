"""Exchange target announcements with the peers of the zone."""

from __future__ import annotations

import time
from collections.abc import Iterable

import mode
import msgspec

from wigeonreach.entry._dissemination import (
    Dissemination,
    MergedRecord,
    PeerMessage,
)
from wigeonreach.entry._membership import Membership, Merge
from wigeonreach.entry._pause import PauseWatch
from wigeonreach.entry._peers import PeerExchange
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
# A leaving target gets its response within this time, even if not all peers
# have confirmed the leave.
_CONFIRM_TIMEOUT_S = 0.4


class Spread(mode.Service):
    """Keeps the memberships of all entries of the zone synchronized.

    Parameters
    ----------
    membership
        The membership to update.
    peers
        Channels to the other entries.
    metrics
        Counters of announcements by their effect.
    logger
        Log for targets that join, leave or expire.
    """

    def __init__(
        self,
        membership: Membership,
        peers: PeerExchange,
        metrics: Metrics,
        logger: Logger,
    ) -> None:
        """Register the handlers of target messages."""
        super().__init__()
        self._membership = membership
        self._peers = peers
        self._metrics = metrics
        self._log = logger
        self._pause = PauseWatch(time.monotonic())
        self._dissemination = Dissemination(
            membership,
            peers.contacts,
            peers.incarnation_ns,
            peers.zone_names,
        )
        peers.handle(Targets, self._on_targets)
        peers.handle(Renewals, self._on_renewals)
        peers.add_initial_messages(self._initial_messages)
        peers.on_contact_change(self._on_contact)
        peers.on_peer_restart(self._on_restart)
        self._dissemination.update_contact()
        # A leave announced to an earlier process of this entry may be lost.
        membership.require_confirmation(time.monotonic())

    def learn(self, record: TargetRecord) -> Merge:
        """Merge an announcement of a target and relay it.

        Parameters
        ----------
        record
            The announced record.

        Returns
        -------
        Merge
            Effect of the announcement.
        """
        now_s = time.monotonic()
        waited_s = now_s - self._pause.arrived_s(now_s)
        merged, outgoing = self._dissemination.on_announcement(
            msgspec.structs.replace(record, age_s=waited_s),
            now_s,
        )
        self._metrics.count('announcements', merged.name.lower())
        self._log_merged(MergedRecord(record, merged))
        self._post(outgoing)
        return merged

    async def is_known_everywhere(self, state: TargetState) -> bool:
        """Whether all entries of the zone know of an announcement.

        For a leave this waits until each of them has confirmed it, but for
        ``_CONFIRM_TIMEOUT_S`` at most.  For any other state it suffices that
        all of them are in contact.
        """
        if state is TargetState.LEAVING:
            return await self._peers.confirm(_CONFIRM_TIMEOUT_S)
        return self._peers.is_zone_in_contact(time.monotonic())

    def see(self, answered: TargetAnswered) -> None:
        """Handle the state that a target reported in a response."""
        left = self._membership.see(answered)
        if left is not None:
            self._metrics.count('announcements', 'seen_leaving')
            self._log.info(LogEvent.TARGET_LEAVING, target=left.target_id)
            self._post(
                self._dissemination.build_announcement(
                    left.target_id, time.monotonic()
                ),
            )

    @mode.Service.task
    async def _run_periodically(self) -> None:
        ticks = 0
        while not self.should_stop:
            await self.sleep(_TICK_S)
            ticks += 1
            now_s = time.monotonic()
            self._pause.tick(now_s)
            if ticks % _TICKS_PER_BATCH == 0:
                self._post(self._dissemination.take_renewals(now_s))
            if ticks % _TICKS_PER_EXPIRY == 0:
                self._expire(now_s)

    def _expire(self, now_s: float) -> None:
        for record in self._membership.expire(now_s):
            self._log.info(LogEvent.TARGET_EXPIRED, target=record.target_id)

    def _on_contact(self, _hello: PeerHello, _message: WireMessage) -> None:
        self._dissemination.update_contact()

    def _on_restart(self, name: str) -> None:
        self._dissemination.on_restart(name, time.monotonic())

    def _initial_messages(self, name: str) -> Iterable[WireMessage]:
        return self._dissemination.initial_messages(name, time.monotonic())

    def _on_targets(self, _hello: PeerHello, targets: Targets) -> None:
        for merged in self._dissemination.on_targets(targets, time.monotonic()):
            self._log_merged(merged)

    def _on_renewals(self, _hello: PeerHello, batch: Renewals) -> None:
        self._dissemination.on_renewals(batch, time.monotonic())

    def _post(self, outgoing: list[PeerMessage]) -> None:
        for message in outgoing:
            self._peers.post(message.peer, message.message)

    def _log_merged(self, merged: MergedRecord) -> None:
        record = merged.record
        is_serving = record.state is TargetState.SERVING
        if merged.merge is Merge.JOINED and is_serving:
            self._log.info(LogEvent.TARGET_JOINED, target=record.target_id)
        elif merged.merge is Merge.LEFT:
            self._log.info(LogEvent.TARGET_LEAVING, target=record.target_id)
