"""Measure when a leaving target gets its last new work."""

from __future__ import annotations

import asyncio
import dataclasses
import pathlib
from collections.abc import Iterable

from bench.figures import Figure, at_most, unbounded
from bench.leaving import (
    LEASES_ALONE,
    ZONE,
    FaultScript,
    ZoneUnderTest,
    leave,
    run_under_load,
)

_NAME = 'leave'
_FOLDER = pathlib.Path('run/bench-leave')
_LEAVING_TARGET = 'records-0'
_WARMUP_S = 1.0
_LENGTH_S = 4.5
_LAST_WORK_LIMIT_S = 2.0
# Baseline policy: a record is trusted until its lease expires, and a target
# reports its state only in announcements, which are sent at the same rate.
_LEASE_ONLY_SHAPE = dataclasses.replace(
    ZONE,
    target_options=(*ZONE.target_options, '--naive'),
    entry_options=LEASES_ALONE,
)


def run() -> Iterable[Figure]:
    """Let a target leave, with and without cutting off the notified entry."""
    yield from _compare('quiet', _leave_quietly)
    yield from _compare('told_entry_cut_off', _leave_cut_off)


def _compare(figure: str, disturb: FaultScript) -> Iterable[Figure]:
    measured = run_under_load(_FOLDER, disturb, _LENGTH_S)
    simpler = run_under_load(_FOLDER, disturb, _LENGTH_S, _LEASE_ONLY_SHAPE)
    last_s = measured.last_new_work_s(_LEAVING_TARGET)
    yield at_most(
        _NAME,
        f'{figure}_last_new_work',
        last_s,
        's',
        bound=_LAST_WORK_LIMIT_S,
        baseline=simpler.last_new_work_s(_LEAVING_TARGET),
    )
    answered = sum(call.is_answered for call in measured.calls)
    answered_simpler = sum(call.is_answered for call in simpler.calls)
    yield unbounded(
        _NAME,
        f'{figure}_answered_share',
        answered / len(measured.calls),
        'ratio',
        baseline=answered_simpler / len(simpler.calls),
    )


async def _leave_quietly(stage: ZoneUnderTest) -> None:
    await asyncio.sleep(_WARMUP_S)
    leave([stage.cluster.targets[0]])


async def _leave_cut_off(stage: ZoneUnderTest) -> None:
    leaver = stage.cluster.targets[0]
    entry = stage.cluster.entries[0]
    await asyncio.sleep(_WARMUP_S)
    stage.cut_off_except(leaver, entry)
    stage.isolate(entry)
    leave([leaver])
