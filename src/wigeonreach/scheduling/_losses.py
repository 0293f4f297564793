"""Describe workers that fell silent, and tell which went down together."""

from __future__ import annotations

import bisect
import collections
import dataclasses
from collections.abc import Collection, Iterable, Iterator

from wigeonreach.jobs import CrashEvidence, Run, RunCrashed
from wigeonreach.scheduling._incarnation import Incarnation

# Workers that go down together are heard last within the pause between two
# heartbeats of an idle one (0.7 s) and one that was given up (0.8 s).
_TOGETHER_S = 1.5
# Of two that go down at one moment, an idle one was heard within this before.
_AT_ONCE_S = 0.9


@dataclasses.dataclass(slots=True)
class WorkerLoss:
    """A worker that fell silent without a word.

    Attributes
    ----------
    service, zone, rack
        Where it was; nothing if it was not heard in this term.
    heard_s
        When it was heard last.
    noted_s
        When it was given up.
    runs
        What it had, with what its crash would prove.
    at_start
        Those that it was told to start when it was heard last.
    is_provoked
        Something had just begun there that may have brought it down.
    """

    worker: str
    vm: str
    heard_s: float
    noted_s: float
    service: str = ''
    zone: str = ''
    rack: str = ''
    runs: dict[Run, CrashEvidence] = dataclasses.field(default_factory=dict)
    at_start: set[Run] = dataclasses.field(default_factory=set)
    is_provoked: bool = False

    def mark(self, run: Run, evidence: CrashEvidence) -> RunCrashed:
        """Return what is to be recorded of one of its runs."""
        return RunCrashed(*run, evidence, run in self.at_start)


@dataclasses.dataclass(frozen=True, slots=True)
class DomainLoss:
    """A rack or zone of which no worker was heard for longer than one.

    Attributes
    ----------
    is_proved
        It went with one that had nothing to bring it down, or with several of
        more than one service: tasks of a queue that crash their workers one by
        one leave none like that.  Otherwise they may be the cause all the same.
    """

    name: str
    is_proved: bool


class FallenWorkers:
    """The workers that fell silent lately, beside those that go on.

    Made once for all losses that are judged together: when a zone of thousands
    of workers is back, each of them is compared with those of its own rack and
    zone only.

    Parameters
    ----------
    losses
        All workers that fell silent lately.
    incarnations
        The workers that are not given up.
    """

    def __init__(
        self,
        losses: Iterable[WorkerLoss],
        incarnations: Iterable[Incarnation],
    ) -> None:
        """Sort them by rack and zone."""
        fallen = tuple(losses)
        self._unprovoked_heard_s = sorted(
            loss.heard_s for loss in fallen if not loss.is_provoked
        )
        self._lost = collections.defaultdict[str, list[WorkerLoss]](list)
        self._heard = collections.defaultdict[str, list[Incarnation]](list)
        for loss in fallen:
            for domain in _domains(loss.rack, loss.zone):
                self._lost[domain].append(loss)
        for known in incarnations:
            for heard_in in _domains(known.report.rack, known.report.zone):
                self._heard[heard_in].append(known)

    def domain_of(self, loss: WorkerLoss) -> DomainLoss | None:
        """Return the rack or zone that went down with a worker, if one did."""
        for domain in _domains(loss.rack, loss.zone):
            others = [
                other
                for other in self._lost[domain]
                if other.worker != loss.worker
                and abs(other.heard_s - loss.heard_s) <= _TOGETHER_S
            ]
            if others and not self._has_survivor(domain, loss.heard_s):
                return DomainLoss(domain, _is_proved(loss, others))
        return None

    def has_company(self, loss: WorkerLoss) -> bool:
        """Whether a worker went down beside one, and had nothing to do so by.

        Where some go down by themselves at that moment, it may be one of them.
        """
        heard_s = self._unprovoked_heard_s
        first = bisect.bisect_left(heard_s, loss.heard_s - _AT_ONCE_S)
        behind = bisect.bisect_right(heard_s, loss.heard_s + _AT_ONCE_S)
        itself = int(not loss.is_provoked)
        return behind - first > itself

    def _has_survivor(self, domain: str, heard_s: float) -> bool:
        """Whether a worker that was there then was heard well after."""
        return any(
            known.first_heard_s <= heard_s
            and known.heard_s > heard_s + _TOGETHER_S
            for known in self._heard[domain]
        )


def _domains(rack: str, zone: str) -> Iterator[str]:
    """Yield the names of a worker's rack and zone, the smaller one first."""
    if rack:
        yield f'rack {rack}'
    if zone:
        yield f'zone {zone}'


def _is_proved(loss: WorkerLoss, others: Collection[WorkerLoss]) -> bool:
    if any(not other.is_provoked for other in others):
        return True
    services = {loss.service, *(other.service for other in others)}
    return len(services) > 1 and len(others) > 1
