"""Test what the leader logs of tasks under which workers crashed."""

from __future__ import annotations

import testtools
from structlog.testing import capture_logs
from testtools import matchers

from tests.builders_jobs import TERM, job, key, step, store_with
from wigeonreach.core._term_log import TermLog
from wigeonreach.jobs import CrashEvidence, RecordRuns, RunCrashed, RunStarted
from wigeonreach.lab import commit
from wigeonreach.observe import Logger, Metrics


class TestSuspects(testtools.TestCase):
    """A task of two whose first worker crashed."""

    def test_start_tells_what_counts_against_the_task(self) -> None:
        """One line per suspect, and none for the other task."""
        store = store_with(job(step(2)))
        crashes = (
            RunCrashed(key(0), 1, CrashEvidence.BESIDE_OTHERS),
            RunCrashed(key(0), 2, CrashEvidence.UNCERTAIN, is_at_start=True),
        )
        starts = (
            RunStarted(key(0), 3, 'w3', 'vm3'),
            RunStarted(key(1), 1, 'w3', 'vm3'),
        )
        commit(store, RecordRuns(TERM, starts=starts, crashes=crashes))
        with capture_logs() as lines:
            TermLog(store, Logger('core'), Metrics()).runs_ordered(starts, {})
        suspects = [
            line for line in lines if line['event'] == 'suspect_ordered'
        ]
        self.assertThat(suspects, matchers.HasLength(1))
        self.assertThat(
            suspects[0]['crashes'],
            matchers.Equals(['1:beside_others', '2:uncertain-start']),
        )
