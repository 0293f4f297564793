"""Keep the tasks of a batch job in one zone, and on few racks.

A zone may be lost as a whole.  If the tasks of each job are in all zones, the
loss of one holds up every running job by a lease; if each job is in one zone,
it holds up only the jobs there.

A home is a preference: where it has no capacity, tasks run elsewhere at once.
"""

from __future__ import annotations

import collections
import dataclasses
import itertools
from collections.abc import Collection, Iterable, Iterator, Mapping

from wigeonreach.jobs import JobStore, TaskKey, TaskPhase
from wigeonreach.observe import LogEvent
from wigeonreach.scheduling._incarnation import Incarnation
from wigeonreach.scheduling._notes import LogNote
from wigeonreach.scheduling._ready import ReadyStep
from wigeonreach.scheduling.placing._worker_capacity import WorkerCapacity

# The heartbeat of a worker comes within 0.8 s of the one before, even if the
# answer was held back.
_OVERDUE_S = 0.9
# Share of a zone's workers whose heartbeats are overdue from which the zone as
# a whole may be cut off; single workers fall silent for other reasons.
_SUSPECT_RATIO = 0.5

# Places of a start in the metrics.
IN_HOME = 'home'
AWAY = 'away'

# Job id and occurrence number.
_Occurrence = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Home:
    """Where the tasks of a step should run.

    Attributes
    ----------
    zone
        The zone, or '' if there is none.
    racks
        Racks on which the occurrence has tasks.
    """

    zone: str = ''
    racks: frozenset[str] = frozenset()


NO_HOME = Home()


class HomeZones:
    """Home zones of the running jobs, for the leader of one term.

    Parameters
    ----------
    store
        The replicated state; it is only read.
    incarnations
        The tracked workers, by name; the mapping is live.
    is_enabled
        Whether jobs have homes at all.
    """

    def __init__(
        self,
        store: JobStore,
        incarnations: Mapping[str, Incarnation],
        is_enabled: bool,
    ) -> None:
        """Start without homes; they are found from the runs."""
        self._store = store
        self._incarnations = incarnations
        self._is_enabled = is_enabled
        self._homes: dict[_Occurrence, str] = {}
        self._suspect: frozenset[str] = frozenset()
        self._starts: collections.Counter[str] = collections.Counter()

    def begin_plan(self, now_s: float) -> list[LogNote]:
        """Find the suspect zones, and forget the homes of ended jobs.

        Returns
        -------
        list of LogNote
            Notes on zones that became suspect, or are no more.
        """
        if not self._is_enabled:
            return []
        suspect = suspect_zones(self._incarnations.values(), now_s)
        notes = [
            *_notes(LogEvent.ZONE_SUSPECTED, suspect - self._suspect, 'over'),
            *_notes(LogEvent.ZONE_CLEARED, self._suspect - suspect, 'up to'),
        ]
        self._suspect = suspect
        ended = [
            occurrence
            for occurrence in self._homes
            if not self._is_active(occurrence[0])
        ]
        for occurrence in ended:
            self._homes.pop(occurrence)
        return notes

    def count_start(self, key: TaskKey, zone: str) -> None:
        """Count a start in the home zone of its job, or elsewhere."""
        home = self._homes.get((key.job_id, key.occurrence))
        if home:
            self._starts[IN_HOME if zone == home else AWAY] += 1

    def take_starts(self) -> collections.Counter[str]:
        """Return the starts counted since the last call, by place."""
        starts = self._starts
        self._starts = collections.Counter()
        return starts

    def home_of(
        self,
        step: ReadyStep,
        workers: Collection[WorkerCapacity],
    ) -> Home:
        """Return where the tasks of a step should run.

        Parameters
        ----------
        step
            The step.
        workers
            The workers that may run it.
        """
        if not self._is_enabled or step.spec.is_service:
            return NO_HOME
        occurrence = (step.job.spec.job_id, step.occurrence)
        zones, racks = _places_of_runs(step, self._incarnations)
        zone = self._homes.get(occurrence) or most_frequent(zones)
        if not zone or zone in self._suspect:
            zone = emptiest_zone(workers, self._suspect)
        if zone:
            self._homes[occurrence] = zone
        return Home(zone, racks)

    def _is_active(self, job_id: str) -> bool:
        job = self._store.jobs.get(job_id)
        return job is not None and job.is_active


def suspect_zones(
    incarnations: Iterable[Incarnation],
    now_s: float,
) -> frozenset[str]:
    """Return the zones whose workers' heartbeats are overdue together."""
    workers: collections.Counter[str] = collections.Counter()
    overdue: collections.Counter[str] = collections.Counter()
    for incarnation in incarnations:
        zone = incarnation.report.zone
        workers[zone] += 1
        overdue[zone] += now_s - incarnation.heard_s > _OVERDUE_S
    return frozenset(
        zone
        for zone, count in workers.items()
        if overdue[zone] > count * _SUSPECT_RATIO
    )


def emptiest_zone(
    workers: Iterable[WorkerCapacity],
    suspect: Collection[str],
) -> str:
    """Return the zone with most free processors, '' if there is none."""
    free: dict[str, float] = collections.defaultdict(float)
    for worker in workers:
        zone = worker.incarnation.report.zone
        if zone not in suspect:
            free[zone] += worker.free.processors
    return max(free, key=lambda zone: (free[zone], zone), default='')


def _notes(
    event: LogEvent, zones: Iterable[str], compared: str
) -> Iterator[LogNote]:
    for zone in sorted(zones):
        reason = f'{compared} half of its workers silent for {_OVERDUE_S} s'
        yield LogNote(event, zone, reason)


def most_frequent(zones: collections.Counter[str]) -> str:
    """Return the zone that is counted most often, '' if there is none."""
    return max(zones, key=lambda zone: (zones[zone], zone), default='')


def _places_of_runs(
    step: ReadyStep,
    incarnations: Mapping[str, Incarnation],
) -> tuple[collections.Counter[str], frozenset[str]]:
    """Return the zones and racks where tasks of an occurrence run."""
    reports = [
        incarnations[task.worker].report
        for task in itertools.chain.from_iterable(
            step.job.occurrences[step.occurrence]
        )
        if task.phase is TaskPhase.ASSIGNED and task.worker in incarnations
    ]
    zones = collections.Counter(report.zone for report in reports)
    return zones, frozenset(report.rack for report in reports)
