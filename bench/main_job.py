"""Run a small fleet under load while processes leave and fail."""

from __future__ import annotations

import asyncio
import collections
import pathlib
import shutil
import signal
import sys
from collections.abc import Sequence

from bench.check import Verdict, check
from bench.cluster import Cluster, Shape
from bench.load import Call, Load
from wigeonreach.standins._run_log import read_run_log

_FOLDER = pathlib.Path('run/main-job')
_TEXT = pathlib.Path('examples/fleet.toml')
_RATE_PER_S = 200.0
_LENGTH_S = 15.0
_ANNOUNCED_S = 1.5
_STEP_S = 4.0
_SHAPE = Shape(
    zones=('hanoi-a', 'hanoi-b', 'hanoi-c'),
    entries_per_zone=2,
    services=('records', 'voicemail', 'billing', 'recording', 'portal'),
    targets_per_service=6,
)


def main() -> int:
    """Run the job and print its table.

    Returns
    -------
    int
        0 if no guarantee was violated, else 1.
    """
    shutil.rmtree(_FOLDER, ignore_errors=True)
    cluster = Cluster(_SHAPE, _FOLDER)
    try:
        calls = _drive(cluster)
    finally:
        cluster.stop()
    verdict = check(calls, read_run_log(cluster.run_log))
    _print_table(calls, verdict)
    print(verdict.line())
    return 1 if verdict.violations else 0


def _drive(cluster: Cluster) -> list[Call]:
    cluster.start()
    applied = cluster.command_line('apply', str(_TEXT))
    print(applied.stdout.strip() or applied.stderr.strip())
    cluster.wait_until_ready()
    return asyncio.run(_load_and_disturb(cluster))


async def _load_and_disturb(cluster: Cluster) -> list[Call]:
    await asyncio.sleep(_ANNOUNCED_S)
    load = Load(cluster.entries, cluster.shape.services, _RATE_PER_S)
    disturbing = asyncio.ensure_future(_disturb(cluster))
    calls = await load.run(_LENGTH_S)
    await disturbing
    return calls


async def _disturb(cluster: Cluster) -> None:
    killed, drained = cluster.targets[0], cluster.targets[-1]
    stopped = cluster.entries[-1]
    steps = (
        (killed, signal.SIGKILL),
        (drained, signal.SIGTERM),
        (stopped, signal.SIGTERM),
    )
    for process, number in steps:
        await asyncio.sleep(_STEP_S)
        print(f'{number.name} to {process.name}', flush=True)
        process.send(number)


def _print_table(calls: Sequence[Call], verdict: Verdict) -> None:
    print(f'{"service":<12} {"answered":>8} {"other":>6} {"p50 ms":>7}')
    by_service: dict[str, list[Call]] = collections.defaultdict(list)
    for call in calls:
        by_service[call.service].append(call)
    for service, made in sorted(by_service.items()):
        taken_s = sorted(
            call.answered_s - call.due_s for call in made if call.is_answered
        )
        median_ms = taken_s[len(taken_s) // 2] * 1000 if taken_s else 0
        other = len(made) - len(taken_s)
        print(f'{service:<12} {len(taken_s):>8} {other:>6} {median_ms:>7.1f}')
    codes = collections.Counter(call.code or call.outcome for call in calls)
    print(f'codes: {dict(codes)}')
    for violation in verdict.violations[:10]:
        print(f'violation: {violation}')


if __name__ == '__main__':
    sys.exit(main())
