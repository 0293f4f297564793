"""Leader without a network: proposals are committed at once."""

from __future__ import annotations

import itertools

from wigeonreach.jobs import (
    BeginTerm,
    Command,
    CommandResult,
    JobStore,
    RecordRuns,
    RunStarted,
    decode_reply,
    encode_command,
)
from wigeonreach.scheduling import (
    HeartbeatResult,
    Scheduler,
    SchedulingSettings,
)
from wigeonreach.wire._worker_messages import WorkerReport

_INDEXES = itertools.count(1)
_DEFAULTS = SchedulingSettings()


def commit(store: JobStore, command: Command) -> CommandResult:
    """Apply a command to a store, as if it had been replicated."""
    reply = store.apply(next(_INDEXES), encode_command(command))
    return decode_reply(reply).verdict


class VirtualLead:
    """Leader of one term, driven by virtual time.

    Parameters
    ----------
    store
        The replicated state.
    term
        Term of this leader.
    now_s
        Start of the term, in seconds.
    settings
        Settings of the scheduler.
    """

    def __init__(
        self,
        store: JobStore,
        term: int,
        now_s: float = 0.0,
        settings: SchedulingSettings = _DEFAULTS,
    ) -> None:
        """Begin the term."""
        self.store = store
        self.term = term
        self.now_s = now_s
        commit(store, BeginTerm(term))
        self.scheduler = Scheduler(store, term, now_s, settings)

    def take(self, report: WorkerReport) -> HeartbeatResult | None:
        """Process a heartbeat and record the ended runs that it reports."""
        result = self.scheduler.process_heartbeat(report, self.now_s)
        if result is None:
            return None
        if result.ends:
            commit(self.store, RecordRuns(self.term, ends=result.ends))
        result.incarnation.last_recorded_end = max(
            (
                result.incarnation.last_recorded_end,
                *(ended.number for ended in report.ended),
            ),
        )
        return result

    def plan(self) -> tuple[RunStarted, ...]:
        """Record lost and crashed runs, then the runs to start."""
        lost = self.scheduler.take_lost_runs(self.now_s)
        crashes = self.scheduler.crashes_to_record(self.now_s)
        if lost or crashes:
            record = RecordRuns(self.term, ends=lost, crashes=crashes)
            commit(self.store, record)
            self.scheduler.crashes.note_recorded(crashes)
        starts = self.scheduler.plan(self.now_s, self.now_s * 1000)
        if starts:
            commit(self.store, RecordRuns(self.term, starts=starts))
        return starts
