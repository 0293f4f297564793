"""Test what a worker's heartbeat says of what is under it."""

from __future__ import annotations

import msgspec
import testtools
from testtools import matchers

from wigeonreach.standins import StandInWorker


class TestWorkerReport(testtools.TestCase):
    """Names that outlive a worker."""

    def test_vm_outlives_the_worker(self) -> None:
        """Where it is told, the address says nothing."""
        report = StandInWorker('w0', 'vm0').report()
        self.assertThat(report.vm_or_address, matchers.Equals('vm0'))

    def test_address_stands_in_for_a_vm_that_is_not_told(self) -> None:
        """A worker that restarts comes back there."""
        report = StandInWorker('w0', '').report()
        moved = msgspec.structs.replace(report, address='10.0.0.7:80')
        self.assertThat(moved.vm_or_address, matchers.Equals('10.0.0.7:80'))
