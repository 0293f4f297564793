"""Check the responses that callers got against the runs of targets."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterator, Sequence

from bench.load import Call
from wigeonreach.standins._run_log import RunKind, RunLine

_LEAVE_BOUND_S = 2.0
_SLOTS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Counts of outcomes and every violation found."""

    answered: int
    refused: int
    unknown: int
    violations: tuple[str, ...]

    def line(self) -> str:
        """Return the closing line of the main job."""
        return (
            f'answered={self.answered} refused={self.refused} '
            f'unknown={self.unknown} violations={len(self.violations)}'
        )


def check(
    calls: Sequence[Call],
    runs: Sequence[RunLine],
    slots: int = _SLOTS,
) -> Verdict:
    """Find all violations of the service guarantees.

    Parameters
    ----------
    calls
        Requests and their responses.
    runs
        Run log of the targets.
    slots
        Maximum number of concurrent runs of a target.

    Returns
    -------
    Verdict
        Outcomes and violations.
    """
    outcomes = collections.Counter(call.outcome for call in calls)
    violations = (
        *_answer_violations(calls, runs),
        *_run_violations(runs, slots),
        *_leave_violations(runs),
    )
    return Verdict(
        answered=outcomes['ran'],
        refused=outcomes['not-run'],
        unknown=len(calls) - outcomes['ran'] - outcomes['not-run'],
        violations=violations,
    )


def _answer_violations(
    calls: Sequence[Call],
    runs: Sequence[RunLine],
) -> Iterator[str]:
    ended = {run.work for run in runs if run.kind is RunKind.END}
    started = {run.work for run in runs if run.kind is RunKind.START}
    for call in calls:
        yield from _wrong_outcome(call, started)
        if call.is_answered:
            yield from _wrong_answer(call, ended)


def _wrong_outcome(call: Call, started: set[str]) -> Iterator[str]:
    if call.outcome == 'lost':
        yield f'{call.work}: {call.entry} cut the request off'
    if call.outcome == 'not-run' and call.work in started:
        yield f'{call.work}: refused as not run, but ran'


def _wrong_answer(call: Call, ended: set[str]) -> Iterator[str]:
    if call.work not in ended:
        yield f'{call.work}: answered, but never finished'
    if call.body.split(' ')[-1] != call.work:
        yield f'{call.work}: got the answer {call.body!r}'


def _run_violations(runs: Sequence[RunLine], slots: int) -> Iterator[str]:
    started = collections.Counter(
        run.work for run in runs if run.kind is RunKind.START
    )
    for work, times in started.items():
        if times > 1:
            yield f'{work}: ran {times} times'
    for run in runs:
        if run.running > slots:
            yield f'{run.target_id}: {run.running} runs at once'


def _leave_violations(runs: Sequence[RunLine]) -> Iterator[str]:
    left: dict[tuple[str, int], float] = {}
    for run in runs:
        incarnation = (run.target_id, run.process_id)
        if run.kind is RunKind.LEAVING:
            left.setdefault(incarnation, run.at_s)
        late_s = run.at_s - left.get(incarnation, run.at_s)
        if run.kind is RunKind.START and late_s > _LEAVE_BOUND_S:
            yield f'{run.target_id}: new work {late_s:.2f} s after leaving'
