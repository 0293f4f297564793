"""Limit the work that counts for pool sizes to what the caps allow."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterable, Mapping

from wigeonreach.jobs import JobStore
from wigeonreach.scheduling._backlog import StepWork
from wigeonreach.workspaces import Amounts

# Work of one workspace, in millicore seconds and in megabyte seconds.
_WorkTotals = tuple[float, float]


def within_caps(
    work: Mapping[str, Iterable[StepWork]],
    store: JobStore,
    horizon_s: float,
) -> dict[str, list[StepWork]]:
    """Return the work of each service, reduced to what the caps allow.

    Parameters
    ----------
    work
        Remaining work of the accepted jobs of each service.
    store
        The replicated state with the caps; it is only read.
    horizon_s
        Time within which the work should be finished.
    """
    ratios = _allowed_ratios(work, store, horizon_s)
    if not ratios:
        return {service: list(steps) for service, steps in work.items()}
    return {
        service: [
            dataclasses.replace(
                step, allowed_ratio=ratios.get(step.workspace, 1.0)
            )
            for step in steps
        ]
        for service, steps in work.items()
    }


def _allowed_ratios(
    work: Mapping[str, Iterable[StepWork]],
    store: JobStore,
    horizon_s: float,
) -> dict[str, float]:
    """Return the allowed share of work of each workspace over its cap."""
    caps = {
        spec.name: spec.cap
        for spec in store.manifest.workspaces or ()
        if spec.cap.millicores or spec.cap.memory_mb
    }
    totals: dict[str, _WorkTotals] = collections.defaultdict(lambda: (0.0, 0.0))
    for steps in work.values():
        for step in steps:
            if step.workspace in caps:
                totals[step.workspace] = _add(totals[step.workspace], step)
    ratios = {
        name: _allowed_ratio(caps[name], total, horizon_s)
        for name, total in totals.items()
    }
    return {name: ratio for name, ratio in ratios.items() if ratio < 1}


def _add(totals: _WorkTotals, step: StepWork) -> _WorkTotals:
    need = step.spec.amounts
    duration_s = step.tasks * step.task_duration_s
    return totals[0] + need.millicores * duration_s, totals[
        1
    ] + need.memory_mb * duration_s


def _allowed_ratio(
    cap: Amounts, totals: _WorkTotals, horizon_s: float
) -> float:
    limits = zip((cap.millicores, cap.memory_mb), totals, strict=True)
    return min(
        (
            limit * horizon_s / total
            for limit, total in limits
            if limit and total
        ),
        default=1.0,
    )
