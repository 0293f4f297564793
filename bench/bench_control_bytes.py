"""Measure bytes and CPU time of changes, restarts and idle daemons."""

from __future__ import annotations

import asyncio
import dataclasses
import pathlib
import shutil
import statistics
import time
from collections.abc import Awaitable, Callable, Iterable, Iterator, Sequence

from sismic import io as sismic_io
from sismic.interpreter import Interpreter

from bench.cluster import Cluster, Shape
from bench.config_costs import TextCosts, median_s, text_costs
from bench.config_texts import ChangeClient
from bench.figures import Figure, at_most, unbounded
from bench.relay import Link, Relay
from bench.usage import Usage, read_usage
from wigeonreach import charts
from wigeonreach.charts import load_chart

_NAME = 'control_bytes'
_FOLDER = pathlib.Path('run/control-bytes')
_SHAPE = Shape(
    zones=('a', 'b', 'c'),
    entries_per_zone=2,
    services=(),
    targets_per_service=0,
)
# The planned size: 40 pools that share 22,000 workers.
_POOLS = 40
_VMS_PER_POOL = (10, 50, 200, 550)
_CHANGES_PER_S = 29_000 / 86_400
_RESTARTS_PER_S = 3200 / 86_400
_BUDGET_BYTES_PER_S = 6000
_BUDGET_CORES = 0.03
_STEPS = 2000
_IDLE_S = 5.0
_CHANGES = 60
_MS_PER_S = 1000
_US_PER_S = 1_000_000


def run() -> Iterable[Figure]:
    """Measure texts of rising size, charts, then daemons as processes."""
    costs = [text_costs(_POOLS, vms) for vms in _VMS_PER_POOL]
    yield from _size_figures(costs)
    yield from _chart_figures()
    shutil.rmtree(_FOLDER, ignore_errors=True)
    relay = Relay()
    cluster = Cluster(_SHAPE, _FOLDER, relay)
    try:
        cluster.start()
        yield from asyncio.run(_process_figures(cluster, relay))
    finally:
        cluster.stop()
        relay.close()


def _size_figures(costs: Sequence[TextCosts]) -> Iterator[Figure]:
    largest = costs[-1]
    yield unbounded(_NAME, 'text_bytes', largest.text_bytes, 'bytes')
    yield at_most(
        _NAME,
        'change_bytes',
        largest.delta_bytes,
        'bytes/change',
        largest.copy_bytes / 20,
        largest.copy_bytes,
    )
    yield at_most(
        _NAME,
        'changes_bytes_per_s',
        largest.delta_bytes * _CHANGES_PER_S,
        'bytes/s',
        _BUDGET_BYTES_PER_S,
        largest.copy_bytes * _CHANGES_PER_S,
    )
    yield unbounded(
        _NAME,
        'change_bytes_slope',
        _slope(costs, lambda one: one.delta_bytes),
        'bytes/byte of text',
        _slope(costs, lambda one: one.copy_bytes),
    )
    yield from _restart_figures(costs)
    yield from _processor_figures(costs)


def _restart_figures(costs: Sequence[TextCosts]) -> Iterator[Figure]:
    largest = costs[-1]
    slope = _slope(costs, lambda one: one.copy_bytes)
    one_sender = _RESTARTS_PER_S * largest.copy_bytes
    yield unbounded(_NAME, 'restart_bytes', largest.copy_bytes, 'bytes/restart')
    # The baseline sends every copy from one process, uncompressed.
    yield unbounded(
        _NAME,
        'restarts_bytes_per_s',
        one_sender,
        'bytes/s of one sender',
        _RESTARTS_PER_S * largest.text_bytes,
    )
    yield unbounded(
        _NAME,
        'restarts_break_at_text',
        _BUDGET_BYTES_PER_S / _RESTARTS_PER_S / slope,
        'bytes of text',
        _BUDGET_BYTES_PER_S / _RESTARTS_PER_S,
    )


def _processor_figures(costs: Sequence[TextCosts]) -> Iterator[Figure]:
    largest = costs[-1]
    yield at_most(
        _NAME,
        'read_change',
        largest.read_s * _MS_PER_S,
        'ms/change',
        largest.parse_s / 2 * _MS_PER_S,
        largest.parse_s * _MS_PER_S,
    )
    entry_s = largest.read_s + largest.follow_s
    yield at_most(
        _NAME,
        'entry_change_share',
        entry_s * _CHANGES_PER_S,
        'cores at 29,000 changes a day',
        _BUDGET_CORES,
        (largest.parse_s + largest.follow_s) * _CHANGES_PER_S,
    )
    replica_s = largest.accept_s + largest.make_s
    yield at_most(
        _NAME,
        'replica_change_share',
        (largest.read_s + replica_s) * _CHANGES_PER_S,
        'cores at 29,000 changes a day, all by one replica',
        _BUDGET_CORES,
        (largest.parse_s + replica_s) * _CHANGES_PER_S,
    )
    for name, cost_of in (
        ('accept_change', lambda one: one.accept_s),
        ('make_delta', lambda one: one.make_s),
        ('follow_delta', lambda one: one.follow_s),
        ('read_change', lambda one: one.read_s),
        ('read_whole', lambda one: one.parse_s),
    ):
        yield unbounded(
            _NAME,
            f'{name}_slope',
            _slope(costs, cost_of) * _US_PER_S * 1000,
            'us/KB of text',
        )


def _slope(
    costs: Sequence[TextCosts],
    cost_of: Callable[[TextCosts], float],
) -> float:
    sizes = [one.text_bytes for one in costs]
    spent = [cost_of(one) for one in costs]
    return statistics.linear_regression(sizes, spent).slope


def _chart_figures() -> Iterator[Figure]:
    table = load_chart('vm_ownership')
    folder = pathlib.Path(charts.__file__).parent
    chart = sismic_io.import_from_yaml(filepath=folder / 'vm_ownership.yaml')
    interpreter = Interpreter(chart)
    interpreter.execute()
    table_s = median_s(lambda: _step_table(table.step))
    sismic_s = median_s(lambda: _step_interpreter(interpreter))
    yield at_most(
        _NAME,
        'chart_step',
        table_s / _STEPS * _US_PER_S,
        'us/step',
        sismic_s / _STEPS * _US_PER_S / 10,
        sismic_s / _STEPS * _US_PER_S,
    )


def _step_table(step: Callable[[str, str], str | None]) -> None:
    for _ in range(_STEPS):
        step('owned', 'renew')


def _step_interpreter(interpreter: Interpreter) -> None:
    for _ in range(_STEPS):
        interpreter.queue('grant')
        interpreter.execute_once()


async def _process_figures(
    cluster: Cluster,
    relay: Relay,
) -> list[Figure]:
    changer = ChangeClient(cluster, pools=5, vms_per_pool=8)
    await changer.change()
    await asyncio.to_thread(cluster.wait_until_ready)
    await asyncio.sleep(_IDLE_S / 2)
    idle = await _measure_step(cluster, relay, asyncio.sleep(_IDLE_S))
    busy = await _measure_step(cluster, relay, _submit_changes(changer))
    return list(_daemon_figures(idle, busy))


@dataclasses.dataclass(frozen=True, slots=True)
class _StepCost:
    """Bytes and CPU time that a step cost an entry and a replica.

    Bytes and the entry's CPU time are means over the processes; the
    replica's CPU time is the maximum, which is the leader's.
    """

    length_s: float
    follow_bytes: float
    agree_bytes: float
    entry_s: float
    replica_s: float


async def _measure_step(
    cluster: Cluster,
    relay: Relay,
    step: Awaitable[None],
) -> _StepCost:
    entries = {one.name for one in cluster.entries}
    replicas = {one.name for one in cluster.replicas}
    before = _usages(cluster)
    followed = relay.passed_bytes(lambda link: _is_follow(link, entries))
    agreed = relay.passed_bytes(lambda link: link.source in replicas)
    started_s = time.monotonic()
    await step
    after = _usages(cluster)
    spent_s = {
        name: usage.since(before[name]).processor_s
        for name, usage in after.items()
    }
    return _StepCost(
        time.monotonic() - started_s,
        (relay.passed_bytes(lambda link: _is_follow(link, entries)) - followed)
        / len(entries),
        (relay.passed_bytes(lambda link: link.source in replicas) - agreed)
        / len(replicas),
        statistics.mean(spent_s[name] for name in entries),
        max(spent_s[name] for name in replicas),
    )


def _is_follow(link: Link, entries: set[str]) -> bool:
    return link.source in entries and link.target not in entries


def _usages(cluster: Cluster) -> dict[str, Usage]:
    return {
        process.name: read_usage(process.pid)
        for process in (*cluster.entries, *cluster.replicas)
    }


async def _submit_changes(changer: ChangeClient) -> None:
    for _ in range(_CHANGES):
        await changer.change()
    await asyncio.sleep(1)


def _daemon_figures(idle: _StepCost, busy: _StepCost) -> Iterator[Figure]:
    yield at_most(
        _NAME,
        'entry_idle_bytes',
        idle.follow_bytes / idle.length_s,
        'bytes/s',
        _BUDGET_BYTES_PER_S,
    )
    yield at_most(
        _NAME,
        'replica_idle_bytes',
        idle.agree_bytes / idle.length_s,
        'bytes/s between replicas, each',
        _BUDGET_BYTES_PER_S,
    )
    for role, still, moved in (
        ('entry', idle.follow_bytes, busy.follow_bytes),
        ('replica', idle.agree_bytes, busy.agree_bytes),
    ):
        extra = moved - still / idle.length_s * busy.length_s
        yield unbounded(
            _NAME,
            f'{role}_change_bytes',
            extra / _CHANGES,
            'bytes/change',
        )
    for who, still_s, moved_s in (
        ('entry', idle.entry_s, busy.entry_s),
        ('replica', idle.replica_s, busy.replica_s),
    ):
        extra_s = moved_s - still_s / idle.length_s * busy.length_s
        yield unbounded(
            _NAME,
            f'{who}_idle_core_share',
            still_s / idle.length_s,
            'cores',
        )
        yield unbounded(
            _NAME,
            f'{who}_change_us',
            extra_s / _CHANGES * _US_PER_S,
            'us/change',
        )
