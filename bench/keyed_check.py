"""Check the responses to requests with idempotency keys against runs."""

from __future__ import annotations

import collections
from collections.abc import Iterator, Sequence

from bench.keyed_load import KeyedCall, Reply
from wigeonreach.standins._run_log import RunKind, RunLine


def violations_of(
    calls: Sequence[KeyedCall],
    runs: Sequence[RunLine],
) -> list[str]:
    """Find all violations of the guarantees for resent requests.

    Parameters
    ----------
    calls
        Requests with all their responses.
    runs
        Run log of the targets.

    Returns
    -------
    list of str
        One description for each violation.
    """
    started = _count_by_work(runs, RunKind.START)
    ended = _count_by_work(runs, RunKind.END)
    violations: list[str] = []
    for call in calls:
        times = started[call.work]
        if times > 1:
            violations.append(f'{call.work}: ran {times} times')
        for reply in call.replies:
            violations.extend(
                _reply_violations(call.work, reply, started, ended)
            )
        bodies = {one.body for one in call.replies if _has_answer(one)}
        if len(bodies) > 1:
            violations.append(f'{call.work}: got the answers {bodies}')
    return violations


def _count_by_work(
    runs: Sequence[RunLine],
    kind: RunKind,
) -> collections.Counter[str]:
    return collections.Counter(run.work for run in runs if run.kind is kind)


def _has_answer(reply: Reply) -> bool:
    return reply.outcome == 'ran' and reply.code == '0'


def _reply_violations(
    work: str,
    reply: Reply,
    started: collections.Counter[str],
    ended: collections.Counter[str],
) -> Iterator[str]:
    if reply.outcome == 'not-run' and started[work]:
        yield f'{work}: told not run ({reply.code}), but ran'
    if reply.outcome == 'ran' and not started[work]:
        yield f'{work}: told that it ran, but did not'
    if _has_answer(reply) and not ended[work]:
        yield f'{work}: answered, but never finished'
    if _has_answer(reply) and reply.body.split(' ')[-1] != work:
        yield f'{work}: got the answer {reply.body!r}'
