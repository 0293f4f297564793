"""Test by what a worker's VM is identified in its heartbeat."""

from __future__ import annotations

import msgspec
import testtools
from testtools import matchers

from wigeonreach.standins import StandInWorker


class TestWorkerReport(testtools.TestCase):
    """The identity that outlives a worker."""

    def test_reported_vm_is_used(self) -> None:
        """If a VM is reported, the address is ignored."""
        report = StandInWorker('w0', 'vm0').report()
        self.assertThat(report.vm_or_address, matchers.Equals('vm0'))

    def test_address_is_used_without_a_vm(self) -> None:
        """A worker that restarts gets the same address."""
        report = StandInWorker('w0', '').report()
        moved = msgspec.structs.replace(report, address='10.0.0.7:80')
        self.assertThat(moved.vm_or_address, matchers.Equals('10.0.0.7:80'))
