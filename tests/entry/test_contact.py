"""Test when an entry is in contact with its peers."""

from __future__ import annotations

import testtools
from testtools.matchers import Equals

from wigeonreach.entry._contact import PeerContacts
from wigeonreach.wire._peer_messages import Heartbeat, PeerHello

_LEFT = PeerHello('left', 'a', incarnation_ns=1)
_RIGHT = PeerHello('right', 'a', incarnation_ns=2)


class TestContacts(testtools.TestCase):
    """Heartbeats that echo the receiver's own timestamps."""

    def setUp(self) -> None:
        """Connect two entries whose clocks differ by 100 s."""
        super().setUp()
        self.left = PeerContacts(1, ('right',), limit_s=1)
        self.right = PeerContacts(2, ('left',), limit_s=1)
        self.left.on_hello(_RIGHT)
        self.right.on_hello(_LEFT)

    def _left_heartbeat(
        self, now_s: float, *, synced: bool = True
    ) -> Heartbeat:
        return self.left.build_heartbeat('right', now_s, has_synced=synced)

    def _exchange(self, now_s: float) -> None:
        to_right = self._left_heartbeat(now_s)
        self.right.on_heartbeat(_LEFT, to_right, now_s + 100)
        to_left = self.right.build_heartbeat(
            'left', now_s + 100, has_synced=True
        )
        self.left.on_heartbeat(_RIGHT, to_left, now_s)

    def test_silence(self) -> None:
        """Contact is lost when the newest echo is too old."""
        self._exchange(10)

        self.assertTrue(self.left.is_in_contact('right', 10.9))
        self.assertFalse(self.left.is_in_contact('right', 11))

    def test_delayed(self) -> None:
        """Heartbeats that arrive regularly but delayed don't keep contact."""
        self._exchange(10)
        late = self.right.build_heartbeat('left', 110.2, has_synced=True)

        self.left.on_heartbeat(_RIGHT, late, 15)

        self.assertFalse(self.left.is_in_contact('right', 15))

    def test_not_synced(self) -> None:
        """A peer that has not sent its initial messages is not in contact."""
        self.right.on_heartbeat(_LEFT, self._left_heartbeat(10), 110)
        early = self.right.build_heartbeat('left', 110, has_synced=False)

        self.left.on_heartbeat(_RIGHT, early, 10)

        self.assertFalse(self.left.is_in_contact('right', 10))

    def test_restart(self) -> None:
        """A restarted peer lost its state and is out of contact."""
        self._exchange(10)
        again = PeerHello('right', 'a', incarnation_ns=3)

        self.assertThat(self.left.on_hello(again), Equals(True))
        self.assertFalse(self.left.is_in_contact('right', 10))
        self.left.on_heartbeat(_RIGHT, Heartbeat(111, 11, 1), 11)
        self.assertFalse(self.left.is_in_contact('right', 11))

    def test_own_restart(self) -> None:
        """An echo for an earlier incarnation of this entry is ignored."""
        self.left.on_heartbeat(_RIGHT, Heartbeat(110, 10, 999), 10)

        self.assertFalse(self.left.is_in_contact('right', 10))

    def test_goodbye(self) -> None:
        """A peer that said goodbye no longer limits contact."""
        self.left.on_goodbye(_RIGHT)

        self.assertThat(
            self.left.in_contact_until_s(('right',)),
            Equals(float('inf')),
        )

    def test_reached(self) -> None:
        """A message has arrived once a later heartbeat is echoed."""
        self._exchange(10)

        self.assertTrue(self.left.has_reached(('right',), 9.9))
        self.assertFalse(self.left.has_reached(('right',), 10.1))
