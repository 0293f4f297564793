"""Test when ended jobs and early cancels are forgotten."""

from __future__ import annotations

import testtools
from testtools import matchers

from tests.builders_jobs import JOB, OTHER_JOB, job, store_with
from wigeonreach.core._forgetting import Forgetting
from wigeonreach.jobs import CancelJob, EarlyCancel, ForgetJobs
from wigeonreach.lab import commit

# How long the platform may ask for the status of a job.
_STATUS_S = 120.0
# A request is on its way for seconds, as long as its process stands still.
_ON_ITS_WAY_S = 30.0
_LONG_S = 200.0


class TestForgetting(testtools.TestCase):
    """One job that ended, and the cancel of another that is unknown."""

    def setUp(self) -> None:
        """Cancel both."""
        super().setUp()
        self.store = store_with(job())
        for job_id in (JOB, OTHER_JOB):
            commit(self.store, CancelJob(job_id, ''))
        self.forgetting = Forgetting(self.store)
        self.forgetting.due(0)

    def test_nothing_is_forgotten_too_early(self) -> None:
        """Requests may still ask for the job, or submit the other one."""
        self.assertThat(self.forgetting.due(_ON_ITS_WAY_S), matchers.Is(None))

    def test_job_stays_as_long_as_its_status_is_asked_for(self) -> None:
        """An early cancel is forgotten before."""
        due = self.forgetting.due(_STATUS_S)
        assert due is not None
        self.assertThat(due.job_ids, matchers.Equals(()))

    def test_all_is_forgotten_in_the_end(self) -> None:
        """The state does not grow for good."""
        due = self.forgetting.due(_LONG_S)
        expected = ForgetJobs((JOB,), (EarlyCancel(OTHER_JOB, '', 1),))
        self.assertThat(due, matchers.Equals(expected))

    def test_repeated_cancel_is_kept_from_then_on(self) -> None:
        """Its caller was told again that there is no such job."""
        commit(self.store, CancelJob(OTHER_JOB, ''))
        self.forgetting.due(_LONG_S)
        due = self.forgetting.due(_LONG_S + _ON_ITS_WAY_S)
        assert due is not None
        self.assertThat(due.early_cancels, matchers.Equals(()))
