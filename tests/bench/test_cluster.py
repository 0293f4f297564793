"""Test how addresses for a small fleet are chosen."""

from __future__ import annotations

import testtools
from bench.cluster import free_address
from testtools.matchers import HasLength

_COUNT = 2000


class TestFreeAddress(testtools.TestCase):
    """Addresses for processes that are started later."""

    def test_distinct(self) -> None:
        """No address is returned twice."""
        addresses = {free_address() for _ in range(_COUNT)}

        self.assertThat(addresses, HasLength(_COUNT))
