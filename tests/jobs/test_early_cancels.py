"""Test that a job does not run if its cancel comes before its submission.

The cancel is answered as for a job that does not exist, while the request that
submits the job is still on its way.  Guards against jobs that run although their
callers were told that there is no such job.
"""

from __future__ import annotations

import msgspec
import testtools
from testtools import matchers

from tests.builders_jobs import JOB, OTHER_JOB, QUEUE, job, store_with
from tests.builders_workspaces import (
    CLUB,
    KEY,
    OTHER_CLUB,
    OTHER_KEY,
    PUBLIC_QUEUE,
    workspace,
    workspaces_store,
)
from wigeonreach.jobs import (
    AddJob,
    CancelJob,
    CommandResult,
    EarlyCancel,
    ForgetJobs,
    JobPhase,
    JobStore,
    decode_reply,
    encode_command,
)
from wigeonreach.jobs._commands import Command
from wigeonreach.jobs._early_cancels import MAX_EARLY_CANCELS
from wigeonreach.workspaces import NO_CREDENTIAL, credential_digest

_NOBODY = ''
_CANCELLED = matchers.Equals(JobPhase.CANCELLED)
_ACTIVE = matchers.Equals(JobPhase.ACTIVE)


class _EarlierCancelJob(
    msgspec.Struct, frozen=True, array_like=True, tag='CancelJob'
):
    """The command as earlier versions define it."""

    job_id: str


def _apply(store: JobStore, command: Command) -> CommandResult:
    reply = store.apply(0, encode_command(command))
    return decode_reply(reply).verdict


def _add(
    store: JobStore, api_key: str = '', queue_name: str = QUEUE
) -> CommandResult:
    credential = credential_digest(api_key) if api_key else NO_CREDENTIAL
    return _apply(store, AddJob(job(), queue_name, 0, credential))


def _phase(store: JobStore) -> JobPhase:
    return store.jobs[JOB].phase


class TestEarlyCancels(testtools.TestCase):
    """A cancel, and then the submission of its job."""

    def test_job_is_cancelled_when_it_comes(self) -> None:
        """It never becomes active, also if it is submitted again."""
        store = store_with()
        unknown = _apply(store, CancelJob(JOB, _NOBODY))
        self.assertThat(unknown, matchers.Equals(CommandResult.UNKNOWN))
        added = _add(store)
        self.assertThat(added, matchers.Equals(CommandResult.CANCELLED))
        self.assertThat(_phase(store), _CANCELLED)
        again = _add(store)
        self.assertThat(again, matchers.Equals(CommandResult.KNOWN))
        self.assertThat(_phase(store), _CANCELLED)

    def test_other_jobs_are_accepted(self) -> None:
        """Only the id counts."""
        store = store_with()
        _apply(store, CancelJob(OTHER_JOB, _NOBODY))
        _add(store)
        self.assertThat(_phase(store), _ACTIVE)

    def test_snapshot_contains_it(self) -> None:
        """A replica that restores the state decides the same."""
        store = store_with()
        _apply(store, CancelJob(JOB, _NOBODY))
        restored = JobStore()
        restored.restore(store.snapshot())
        _add(restored)
        self.assertThat(_phase(restored), _CANCELLED)

    def test_number_is_bounded(self) -> None:
        """Ids are the callers' choice, so a flood must not fill the memory.

        Jobs are accepted and cancelled as before.
        """
        store = store_with()
        for number in range(MAX_EARLY_CANCELS):
            _apply(store, CancelJob(f'{number:016x}', _NOBODY))
        refused = _apply(store, CancelJob('f' * 16, _NOBODY))
        self.assertThat(refused, matchers.Equals(CommandResult.FULL))
        repeated = _apply(store, CancelJob('0' * 16, _NOBODY))
        self.assertThat(repeated, matchers.Equals(CommandResult.UNKNOWN))
        self.assertThat(
            store.early_cancels.entries(),
            matchers.HasLength(MAX_EARLY_CANCELS),
        )
        store.early_cancels.restore(store.early_cancels.entries()[1:])
        _apply(store, AddJob(job(job_id='f' * 16), QUEUE))
        cancelled = _apply(store, CancelJob('f' * 16, _NOBODY))
        self.assertThat(cancelled, matchers.Equals(CommandResult.DONE))

    def test_forgotten_cancel_has_no_effect(self) -> None:
        """The id may be used again; a cancel that was repeated stays."""
        store = store_with()
        _apply(store, CancelJob(JOB, _NOBODY))
        once = EarlyCancel(JOB, _NOBODY, 1)
        _apply(store, CancelJob(JOB, _NOBODY))
        _apply(store, ForgetJobs((), (once,)))
        twice = EarlyCancel(JOB, _NOBODY, 2)
        self.assertThat(store.early_cancels.entries(), matchers.Equals([twice]))
        _apply(store, ForgetJobs((), (twice,)))
        _add(store)
        self.assertThat(_phase(store), _ACTIVE)


class TestOwners(testtools.TestCase):
    """Workspaces that cancel what they can't own."""

    def setUp(self) -> None:
        """Set up two workspaces, and a public queue."""
        super().setUp()
        self.store = workspaces_store(workspace(), workspace(OTHER_CLUB))

    def test_own_job_is_cancelled(self) -> None:
        """The workspace of the cancel submits the job."""
        _apply(self.store, CancelJob(JOB, CLUB))
        _add(self.store, KEY)
        self.assertThat(_phase(self.store), _CANCELLED)

    def test_job_of_another_workspace_is_not_cancelled(self) -> None:
        """Another workspace submits a job with the same id."""
        _apply(self.store, CancelJob(JOB, CLUB))
        _add(self.store, OTHER_KEY)
        self.assertThat(_phase(self.store), _ACTIVE)

    def test_job_that_comes_after_the_check_is_not_cancelled(self) -> None:
        """The access is checked again, in the order of the log."""
        _add(self.store, OTHER_KEY)
        refused = _apply(self.store, CancelJob(JOB, CLUB))
        self.assertThat(refused, matchers.Equals(CommandResult.OTHERS))
        self.assertThat(_phase(self.store), _ACTIVE)

    def test_public_queue_needs_no_owner(self) -> None:
        """Each caller may cancel its jobs, before they come too."""
        _apply(self.store, CancelJob(JOB, _NOBODY))
        _add(self.store, KEY, PUBLIC_QUEUE)
        self.assertThat(_phase(self.store), _CANCELLED)


class TestVersions(testtools.TestCase):
    """Builds of both sides of an upgrade read each other's messages."""

    def test_command_of_an_earlier_version(self) -> None:
        """It cancels a known job, and remembers nothing of others."""
        store = store_with(job())
        for job_id in (JOB, OTHER_JOB):
            store.apply(0, msgspec.msgpack.encode(['CancelJob', job_id]))
        self.assertThat(_phase(store), _CANCELLED)
        self.assertThat(store.early_cancels.entries(), matchers.Equals([]))

    def test_snapshot_of_an_earlier_version(self) -> None:
        """It lacks the last field."""
        stored = msgspec.msgpack.decode(store_with(job()).snapshot())
        store = JobStore()
        store.restore(msgspec.msgpack.encode(stored[:-1]))
        self.assertThat(_phase(store), _ACTIVE)

    def test_earlier_version_reads_the_command(self) -> None:
        """Its decoder ignores fields that it does not know."""
        encoded = encode_command(CancelJob(JOB, CLUB))
        decoded = msgspec.msgpack.decode(encoded, type=_EarlierCancelJob)
        self.assertThat(decoded.job_id, matchers.Equals(JOB))
