"""Leave out of what pools want what the caps of workspaces keep from running."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterable, Mapping

from wigeonreach.jobs import JobStore
from wigeonreach.scheduling._backlog import StepWork
from wigeonreach.workspaces import Amounts

# What one workspace owes: seconds of a thousandth of a processor, and of a MB.
_Owed = tuple[float, float]


def within_caps(
    work: Mapping[str, Iterable[StepWork]],
    store: JobStore,
    horizon_s: float,
) -> dict[str, list[StepWork]]:
    """Return the work of each service as far as caps let it run.

    Parameters
    ----------
    work
        What is left of the accepted jobs of each service.
    store
        The caps; it is only read.
    horizon_s
        Within which it is to run.
    """
    parts = _parts(work, store, horizon_s)
    if not parts:
        return {service: list(steps) for service, steps in work.items()}
    return {
        service: [
            dataclasses.replace(step, part=parts.get(step.workspace, 1.0))
            for step in steps
        ]
        for service, steps in work.items()
    }


def _parts(
    work: Mapping[str, Iterable[StepWork]],
    store: JobStore,
    horizon_s: float,
) -> dict[str, float]:
    """Return which part of its work each workspace that owes too much may do."""
    caps = {
        spec.name: spec.cap
        for spec in store.manifest.workspaces or ()
        if spec.cap.millicores or spec.cap.memory_mb
    }
    owed: dict[str, _Owed] = collections.defaultdict(lambda: (0.0, 0.0))
    for steps in work.values():
        for step in steps:
            if step.workspace in caps:
                owed[step.workspace] = _add(owed[step.workspace], step)
    parts = {
        name: _part(caps[name], amounts, horizon_s)
        for name, amounts in owed.items()
    }
    return {name: part for name, part in parts.items() if part < 1}


def _add(owed: _Owed, step: StepWork) -> _Owed:
    need = step.spec.amounts
    lasts_s = step.tasks * step.lasts_s
    return owed[0] + need.millicores * lasts_s, owed[
        1
    ] + need.memory_mb * lasts_s


def _part(cap: Amounts, owed: _Owed, horizon_s: float) -> float:
    limits = zip((cap.millicores, cap.memory_mb), owed, strict=True)
    return min(
        (most * horizon_s / has for most, has in limits if most and has),
        default=1.0,
    )
