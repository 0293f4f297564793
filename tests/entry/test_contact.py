"""Test when an entry is in contact with its peers."""

from __future__ import annotations

import testtools
from testtools.matchers import Equals

from wigeonreach.entry._contact import Contacts
from wigeonreach.wire._peer_messages import Heartbeat, PeerHello

_LEFT = PeerHello('left', 'a', incarnation_ns=1)
_RIGHT = PeerHello('right', 'a', incarnation_ns=2)


class TestContacts(testtools.TestCase):
    """Heartbeats that repeat the receiver's own clock."""

    def setUp(self) -> None:
        """Let two entries whose clocks differ by 100 s know each other."""
        super().setUp()
        self.left = Contacts(1, ('right',), limit_s=1)
        self.right = Contacts(2, ('left',), limit_s=1)
        self.left.greet(_RIGHT)
        self.right.greet(_LEFT)

    def _beat_left(self, now_s: float, *, synced: bool = True) -> Heartbeat:
        return self.left.heartbeat('right', now_s, has_synced=synced)

    def _exchange(self, now_s: float) -> None:
        to_right = self._beat_left(now_s)
        self.right.hear(_LEFT, to_right, now_s + 100)
        to_left = self.right.heartbeat('left', now_s + 100, has_synced=True)
        self.left.hear(_RIGHT, to_left, now_s)

    def test_silence(self) -> None:
        """Contact is lost when the newest echo is too old."""
        self._exchange(10)

        self.assertTrue(self.left.is_in_contact('right', 10.9))
        self.assertFalse(self.left.is_in_contact('right', 11))

    def test_delayed(self) -> None:
        """Heartbeats that arrive regularly but late keep no contact."""
        self._exchange(10)
        late = self.right.heartbeat('left', 110.2, has_synced=True)

        self.left.hear(_RIGHT, late, 15)

        self.assertFalse(self.left.is_in_contact('right', 15))

    def test_not_synced(self) -> None:
        """A peer that has not passed on what it knows is not in contact."""
        self.right.hear(_LEFT, self._beat_left(10), 110)
        early = self.right.heartbeat('left', 110, has_synced=False)

        self.left.hear(_RIGHT, early, 10)

        self.assertFalse(self.left.is_in_contact('right', 10))

    def test_restart(self) -> None:
        """A restarted peer forgot what it knew; it was in contact before."""
        self._exchange(10)
        again = PeerHello('right', 'a', incarnation_ns=3)

        self.assertThat(self.left.greet(again), Equals(True))
        self.assertFalse(self.left.is_in_contact('right', 10))
        self.left.hear(_RIGHT, Heartbeat(111, 11, 1), 11)
        self.assertFalse(self.left.is_in_contact('right', 11))

    def test_own_restart(self) -> None:
        """An echo of a time before this entry's own restart says nothing."""
        self.left.hear(_RIGHT, Heartbeat(110, 10, 999), 10)

        self.assertFalse(self.left.is_in_contact('right', 10))

    def test_goodbye(self) -> None:
        """A peer that said that it ends needs no contact."""
        self.left.leave(_RIGHT)

        self.assertThat(
            self.left.covered_until_s(('right',)),
            Equals(float('inf')),
        )

    def test_reached(self) -> None:
        """What was posted has arrived once a later heartbeat is repeated."""
        self._exchange(10)

        self.assertTrue(self.left.has_reached(('right',), 9.9))
        self.assertFalse(self.left.has_reached(('right',), 10.1))
