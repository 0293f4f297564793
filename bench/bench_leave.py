"""Measure when a leaving target gets its last new work."""

from __future__ import annotations

import asyncio
import dataclasses
import pathlib
from collections.abc import Iterable

from bench.figures import Figure, at_most, told
from bench.leaving import (
    LEASES_ALONE,
    ZONE,
    Disturb,
    Stage,
    leave,
    play,
)

_NAME = 'leave'
_FOLDER = pathlib.Path('run/bench-leave')
_LEAVER = 'records-0'
_BEFORE_S = 1.0
_LENGTH_S = 4.5
_BOUND_S = 2.0
# The simpler policy: a record is trusted until its lease ends, and a target
# tells its state nowhere but in announcements, which come at the same rate.
_SIMPLER = dataclasses.replace(
    ZONE,
    target_options=(*ZONE.target_options, '--naive'),
    entry_options=LEASES_ALONE,
)


def run() -> Iterable[Figure]:
    """Let a target leave, quietly and while the told entry is cut off."""
    yield from _compare('quiet', _leave_quietly)
    yield from _compare('told_entry_cut_off', _leave_cut_off)


def _compare(figure: str, disturb: Disturb) -> Iterable[Figure]:
    measured = play(_FOLDER, disturb, _LENGTH_S)
    simpler = play(_FOLDER, disturb, _LENGTH_S, _SIMPLER)
    last_s = measured.last_new_work_s(_LEAVER)
    yield at_most(
        _NAME,
        f'{figure}_last_new_work',
        last_s,
        's',
        bound=_BOUND_S,
        baseline=simpler.last_new_work_s(_LEAVER),
    )
    answered = sum(call.is_answered for call in measured.calls)
    answered_simpler = sum(call.is_answered for call in simpler.calls)
    yield told(
        _NAME,
        f'{figure}_answered_share',
        answered / len(measured.calls),
        'ratio',
        baseline=answered_simpler / len(simpler.calls),
    )


async def _leave_quietly(stage: Stage) -> None:
    await asyncio.sleep(_BEFORE_S)
    leave([stage.cluster.targets[0]])


async def _leave_cut_off(stage: Stage) -> None:
    leaver = stage.cluster.targets[0]
    entry = stage.cluster.entries[0]
    await asyncio.sleep(_BEFORE_S)
    stage.let_tell_only(leaver, entry)
    stage.isolate(entry)
    leave([leaver])
