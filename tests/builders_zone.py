"""Simulate a zone of entries that exchange records over a faulty network."""

from __future__ import annotations

import dataclasses
import itertools
from collections import deque

import msgspec

from tests.builders import build_record
from wigeonreach.entry._contact import PeerContacts
from wigeonreach.entry._dissemination import Dissemination, PeerMessage
from wigeonreach.entry._membership import Membership
from wigeonreach.entry._pause import PauseWatch
from wigeonreach.entry._target_state import TargetAnswered
from wigeonreach.wire._base import WireMessage
from wigeonreach.wire._peer_messages import Heartbeat, PeerHello
from wigeonreach.wire._target_messages import (
    Renewals,
    TargetRecord,
    Targets,
    TargetState,
)

TICK_S = 0.05
_TICKS_PER_HEARTBEAT = 5
_TICKS_PER_PROBE = 2
_PROBE_AHEAD_S = 0.35
_SKEW_S = 1000.0


@dataclasses.dataclass(slots=True)
class _Packet:
    arrives_s: float
    hello: PeerHello
    message: WireMessage


@dataclasses.dataclass(slots=True)
class FakeLink:
    """An ordered channel that delivers nothing while it is cut."""

    delay_s: float = 0
    is_cut: bool = False
    has_synced: bool = False
    packets: deque[_Packet] = dataclasses.field(default_factory=deque)


@dataclasses.dataclass(slots=True)
class FakeTarget:
    """The actual state of the target, which entries may not know."""

    record: TargetRecord
    left_s: float = float('inf')

    def announce(self) -> TargetRecord:
        """Return the next announcement."""
        self.record = msgspec.structs.replace(
            self.record,
            sequence=self.record.sequence + 1,
        )
        return self.record

    def leave(self, now_s: float) -> None:
        """Start leaving."""
        self.left_s = min(self.left_s, now_s)
        self.record = msgspec.structs.replace(
            self.record,
            state=TargetState.LEAVING,
        )


class FakeEntry:
    """The membership logic of one entry, with its own clock."""

    def __init__(
        self,
        name: str,
        peers: tuple[str, ...],
        skew_s: float,
        now_s: float,
        incarnation_ns: int,
    ) -> None:
        """Start without any target or contact."""
        self.name = name
        self.hello = PeerHello(name, 'a', incarnation_ns)
        self.skew_s = skew_s
        self.is_frozen = False
        self.membership = Membership('a')
        self.contacts = PeerContacts(incarnation_ns, peers)
        self.dissemination = Dissemination(
            self.membership,
            self.contacts,
            incarnation_ns,
            peers,
        )
        self.pause = PauseWatch(now_s + skew_s)
        self.dissemination.update_contact()
        self.membership.require_confirmation(now_s + skew_s)

    def serves(self, now_s: float) -> bool:
        """Whether the entry would send new requests to the target."""
        return bool(
            self.membership.serving('records', now_s + self.skew_s),
        )

    def on_announcement(
        self, record: TargetRecord, now_s: float
    ) -> list[PeerMessage]:
        """Handle an announcement that the target sent to this entry."""
        clock_s = now_s + self.skew_s
        waited_s = clock_s - self.pause.arrived_s(clock_s)
        _, outgoing = self.dissemination.on_announcement(
            msgspec.structs.replace(record, age_s=waited_s),
            clock_s,
        )
        return outgoing

    def receive(self, packet: _Packet, now_s: float) -> None:
        """Handle a message of a peer."""
        clock_s = now_s + self.skew_s
        if self.contacts.on_hello(packet.hello):
            self.dissemination.on_restart(packet.hello.process, clock_s)
        match packet.message:
            case Heartbeat():
                self.contacts.on_heartbeat(
                    packet.hello, packet.message, clock_s
                )
                self.dissemination.update_contact()
            case Targets():
                self.dissemination.on_targets(packet.message, clock_s)
            case Renewals():
                self.dissemination.on_renewals(packet.message, clock_s)


class FakeZone:
    """Three entries, the links between them, and one target.

    Parameters
    ----------
    lease_s
        Lease of the target, in seconds.
    """

    def __init__(self, lease_s: float = 30.0) -> None:
        """Start every entry, out of contact with the others."""
        self.now_s = 0.0
        self.names = ('x', 'y', 'z')
        self.target = FakeTarget(
            build_record(lease_s=lease_s, state_path='/state', sequence=0),
        )
        self.probes_cut: set[str] = set()
        self.announcements: list[tuple[float, str, TargetRecord]] = []
        self._incarnations = itertools.count(1)
        self._ticks = 0
        self.entries = {name: self._start(name) for name in self.names}
        self.links = {
            pair: FakeLink() for pair in itertools.permutations(self.names, 2)
        }

    def announce(self, name: str, delay_s: float) -> None:
        """Send an announcement to one entry, to arrive after a delay."""
        arrives_s = self.now_s + delay_s
        self.announcements.append((arrives_s, name, self.target.announce()))

    def announce_twice(self, name: str, delay_s: float) -> None:
        """Send an announcement that arrives at once and again later."""
        self.announce(name, 0)
        arrives_s, _, record = self.announcements[-1]
        self.announcements.append((arrives_s + delay_s, name, record))

    def cut(self, source: str, target: str) -> None:
        """Hold back the messages from one entry to another."""
        self.links[source, target].is_cut = True

    def heal(self, source: str, target: str) -> None:
        """Deliver the messages that were held back."""
        self.links[source, target].is_cut = False

    def delay(self, source: str, target: str, delay_s: float) -> None:
        """Delay the messages from one entry to another."""
        self.links[source, target].delay_s = delay_s

    def isolate(self, name: str) -> None:
        """Cut all links between an entry and the others."""
        for pair, link in self.links.items():
            link.is_cut = link.is_cut or name in pair

    def heal_all(self) -> None:
        """Deliver the messages that were held back on all links."""
        for link in self.links.values():
            link.is_cut = False

    def freeze(self, name: str) -> None:
        """Suspend an entry; its incoming messages are queued."""
        self.entries[name].is_frozen = True

    def wake(self, name: str) -> None:
        """Resume a suspended entry."""
        self.entries[name].is_frozen = False

    def cut_probes(self, *names: str) -> None:
        """Make the probes of entries fail."""
        self.probes_cut.update(names)

    def restart(self, name: str) -> None:
        """Kill and restart an entry, which loses its state."""
        self.entries[name] = self._start(name)
        for pair, link in self.links.items():
            if name in pair:
                self._reopen(link)

    def reconnect(self, source: str, target: str) -> None:
        """Reopen a channel, which loses the messages in transit."""
        self._reopen(self.links[source, target])

    def run(self, length_s: float) -> None:
        """Let time pass."""
        for _ in range(round(length_s / TICK_S)):
            self._tick()

    def _start(self, name: str) -> FakeEntry:
        peers = tuple(other for other in self.names if other != name)
        skew_s = _SKEW_S * self.names.index(name)
        return FakeEntry(
            name,
            peers,
            skew_s,
            self.now_s,
            next(self._incarnations),
        )

    def _reopen(self, link: FakeLink) -> None:
        link.packets.clear()
        link.has_synced = False

    def _tick(self) -> None:
        self._ticks += 1
        self.now_s += TICK_S
        active = [one for one in self.entries.values() if not one.is_frozen]
        for entry in active:
            # A resumed process reads its queued input before anything else.
            self._deliver_announcements(entry)
            self._deliver_messages(entry)
            entry.pause.tick(self.now_s + entry.skew_s)
        for entry in active:
            if self._ticks % _TICKS_PER_HEARTBEAT == 0:
                self._send_heartbeats(entry)
            if self._ticks % _TICKS_PER_PROBE == 0:
                self._probe(entry)

    def _deliver_announcements(self, entry: FakeEntry) -> None:
        due = [
            one
            for one in self.announcements
            if one[0] <= self.now_s and one[1] == entry.name
        ]
        for one in due:
            self.announcements.remove(one)
            for message in entry.on_announcement(one[2], self.now_s):
                self._send(entry, message.peer, message.message)

    def _deliver_messages(self, entry: FakeEntry) -> None:
        for (source, target), link in self.links.items():
            if target != entry.name or link.is_cut:
                continue
            while link.packets and link.packets[0].arrives_s <= self.now_s:
                entry.receive(link.packets.popleft(), self.now_s)
                self._send_initial_messages(entry, source)

    def _send_initial_messages(self, entry: FakeEntry, peer: str) -> None:
        link = self.links[entry.name, peer]
        if link.has_synced:
            return
        clock_s = self.now_s + entry.skew_s
        for message in entry.dissemination.initial_messages(peer, clock_s):
            self._send(entry, peer, message)
        link.has_synced = True

    def _send_heartbeats(self, entry: FakeEntry) -> None:
        clock_s = self.now_s + entry.skew_s
        for message in entry.dissemination.take_renewals(clock_s):
            self._send(entry, message.peer, message.message)
        for peer in self.names:
            if peer == entry.name:
                continue
            link = self.links[entry.name, peer]
            heartbeat = entry.contacts.build_heartbeat(
                peer,
                clock_s,
                has_synced=link.has_synced,
            )
            self._send(entry, peer, heartbeat)

    def _send(self, entry: FakeEntry, peer: str, message: WireMessage) -> None:
        link = self.links[entry.name, peer]
        arrives_s = self.now_s + link.delay_s
        if link.packets:
            arrives_s = max(arrives_s, link.packets[-1].arrives_s)
        link.packets.append(_Packet(arrives_s, entry.hello, message))

    def _probe(self, entry: FakeEntry) -> None:
        if entry.name in self.probes_cut:
            return
        clock_s = self.now_s + entry.skew_s
        for member in entry.membership.lapsing(_PROBE_AHEAD_S, clock_s):
            entry.membership.see(
                TargetAnswered(
                    member.record.address,
                    self.target.record.incarnation_ns,
                    self.target.record.state,
                    clock_s,
                ),
            )
