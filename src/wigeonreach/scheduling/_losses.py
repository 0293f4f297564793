"""Correlate workers that fell silent, to find failed racks and zones."""

from __future__ import annotations

import bisect
import collections
import dataclasses
from collections.abc import Collection, Iterable, Iterator

from wigeonreach.jobs import CrashEvidence, Run, RunCrashed
from wigeonreach.scheduling._incarnation import Incarnation

# How long a loss may wait for a new worker on its VM; after that it is uncertain
# what it proves.  A VM was observed to have a new worker 3.2 s after a crash;
# outages of racks are shorter than this limit too.
SETTLE_WITHIN_S = 30.0
# Greatest difference between the last heartbeats of workers that fail together:
# the interval of an idle worker (0.7 s) and 0.8 s for a heartbeat that timed
# out.
_SAME_OUTAGE_S = 1.5
# Greatest difference if no heartbeat timed out: if two workers fail at the same
# moment, even an idle one was heard this shortly before.
_SAME_MOMENT_S = 0.9
# A lost worker that is heard over this time goes on; at the interval of an idle
# worker that is two heartbeats.
_RETURNED_FOR_S = 0.7


@dataclasses.dataclass(slots=True)
class WorkerLoss:
    """A worker that fell silent without announcing its end.

    Attributes
    ----------
    worker, vm
        Its incarnation and its VM.
    heard_s
        When it was last heard.
    given_up_s
        When it was given up.
    service, zone, rack
        Its service and location; empty if it was not heard in this term.
    runs
        Its runs, with the evidence that its crash would provide against each.
    at_start
        The runs that it was told to start and had not listed when it was last
        heard; all of its runs if it was not heard in this term.
    is_provoked
        Whether a run on it may have crashed it: one that had just begun, or
        one of a task under which others have crashed.
    is_trial
        Whether it ran a task that has to run alone, as two workers crashed
        under it.
    is_coincident
        Whether a worker that no run had provoked was lost at the same moment,
        or all other workers of its rack or zone were.
    returned_s
        When a heartbeat of it arrived after that.
    """

    worker: str
    vm: str
    heard_s: float
    given_up_s: float
    service: str = ''
    zone: str = ''
    rack: str = ''
    runs: dict[Run, CrashEvidence] = dataclasses.field(default_factory=dict)
    at_start: set[Run] = dataclasses.field(default_factory=set)
    is_provoked: bool = False
    is_trial: bool = False
    is_coincident: bool = False
    returned_s: float = float('inf')

    def is_disproved(self, heard_s: float) -> bool:
        """Record a heartbeat that came after it; return whether it goes on."""
        self.returned_s = min(self.returned_s, heard_s)
        return heard_s - self.returned_s >= _RETURNED_FOR_S

    def crash_record(self, run: Run, evidence: CrashEvidence) -> RunCrashed:
        """Return the record of this loss for one of its runs."""
        return RunCrashed(
            *run,
            evidence,
            is_at_start=run in self.at_start,
            is_coincident=self.is_coincident,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class DomainLoss:
    """A rack or zone whose workers were all lost at about the same time.

    Attributes
    ----------
    name
        The rack or zone.
    is_conclusive
        Whether the failure of the rack or zone is proved: at the same time it
        lost another worker that no run had provoked, or several others,
        and they are of more than one service in all.  Tasks of a queue that
        crash their workers one by one don't look like this.  Otherwise such
        tasks may still be the cause.
    """

    name: str
    is_conclusive: bool


class LossCorrelation:
    """Compares recently lost workers with each other and with the survivors.

    It is built once for all losses that are settled together and is indexed by
    rack and zone, so that after the return of a zone with thousands of workers
    each loss is compared only with those of its own rack and zone.

    Parameters
    ----------
    losses
        All workers that fell silent recently.
    incarnations
        The workers that are not given up.
    """

    def __init__(
        self,
        losses: Iterable[WorkerLoss],
        incarnations: Iterable[Incarnation],
    ) -> None:
        """Index the workers by rack and zone."""
        lost = tuple(losses)
        self._unprovoked_heard_s = sorted(
            loss.heard_s for loss in lost if not loss.is_provoked
        )
        self._losses_by_domain = collections.defaultdict[str, list[WorkerLoss]](
            list
        )
        self._heard_by_domain = collections.defaultdict[str, list[Incarnation]](
            list
        )
        for loss in lost:
            for domain in _domains(loss.rack, loss.zone):
                self._losses_by_domain[domain].append(loss)
        for known in incarnations:
            for heard_in in _domains(known.report.rack, known.report.zone):
                self._heard_by_domain[heard_in].append(known)

    def failed_domain(self, loss: WorkerLoss) -> DomainLoss | None:
        """Return the rack or zone that failed with a worker, if one did."""
        for domain in _domains(loss.rack, loss.zone):
            others = [
                other
                for other in self._losses_by_domain[domain]
                if other.worker != loss.worker
                and abs(other.heard_s - loss.heard_s) <= _SAME_OUTAGE_S
            ]
            if others and not self._has_survivor(domain, loss.heard_s):
                return DomainLoss(domain, _is_conclusive(loss, others))
        return None

    def coincides_with_unprovoked(self, loss: WorkerLoss) -> bool:
        """Whether an unprovoked worker was lost at the same moment.

        No run on that worker may be the cause, so it failed by itself.  This one
        may have done so too, and its loss is only weak evidence.
        """
        heard_s = self._unprovoked_heard_s
        first = bisect.bisect_left(heard_s, loss.heard_s - _SAME_MOMENT_S)
        behind = bisect.bisect_right(heard_s, loss.heard_s + _SAME_MOMENT_S)
        itself = int(not loss.is_provoked)
        return behind - first > itself

    def _has_survivor(self, domain: str, heard_s: float) -> bool:
        """Whether a worker that was up at that time was heard well after it."""
        return any(
            known.first_heard_s <= heard_s
            and known.heard_s > heard_s + _SAME_OUTAGE_S
            for known in self._heard_by_domain[domain]
        )


def _domains(rack: str, zone: str) -> Iterator[str]:
    """Yield the names of a worker's rack and zone, the smaller domain first."""
    if rack:
        yield f'rack {rack}'
    if zone:
        yield f'zone {zone}'


def _is_conclusive(loss: WorkerLoss, others: Collection[WorkerLoss]) -> bool:
    if any(not other.is_provoked for other in others):
        return True
    services = {loss.service, *(other.service for other in others)}
    return len(services) > 1 and len(others) > 1
