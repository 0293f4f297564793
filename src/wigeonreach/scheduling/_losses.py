"""Describe workers that fell silent, and tell which went down together."""

from __future__ import annotations

import dataclasses
from collections.abc import Collection, Iterable

from wigeonreach.jobs import CrashEvidence, Run
from wigeonreach.scheduling._workers import Incarnation

# Workers that go down together are heard last within the pause between two
# heartbeats of an idle one (0.7 s) and one that was given up (0.8 s).
_TOGETHER_S = 1.5


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
    is_provoked: bool = False


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


def domain_loss(
    loss: WorkerLoss,
    losses: Iterable[WorkerLoss],
    incarnations: Iterable[Incarnation],
) -> DomainLoss | None:
    """Return the rack or zone that went down with a worker, if one did.

    Parameters
    ----------
    loss
        The worker.
    losses
        All workers that fell silent lately.
    incarnations
        The workers that are not given up.
    """
    others = [
        other
        for other in losses
        if other.worker != loss.worker
        and abs(other.heard_s - loss.heard_s) <= _TOGETHER_S
    ]
    survivors = [
        known.report
        for known in incarnations
        if known.first_heard_s <= loss.heard_s
        and known.heard_s > loss.heard_s + _TOGETHER_S
    ]
    in_rack = [other for other in others if other.rack == loss.rack]
    if not any(report.rack == loss.rack for report in survivors):
        if loss.rack and in_rack:
            return DomainLoss(f'rack {loss.rack}', _is_proved(loss, in_rack))
    in_zone = [other for other in others if other.zone == loss.zone]
    if not any(report.zone == loss.zone for report in survivors):
        if loss.zone and in_zone:
            return DomainLoss(f'zone {loss.zone}', _is_proved(loss, in_zone))
    return None


def _is_proved(loss: WorkerLoss, others: Collection[WorkerLoss]) -> bool:
    if any(not other.is_provoked for other in others):
        return True
    services = {loss.service, *(other.service for other in others)}
    return len(services) > 1 and len(others) > 1
