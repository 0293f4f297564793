"""Check a simulated run from its trace, independent of the planners."""

from __future__ import annotations

import collections
import dataclasses
import enum
from collections.abc import Iterable, Iterator, Mapping

from wigeonreach.text import FleetText, ServiceMode


class Cause(enum.StrEnum):
    """Why a VM is in its state."""

    UP = 'up'
    OWN = 'own'
    FAILED = 'failed'


@dataclasses.dataclass(frozen=True, slots=True)
class TraceLine:
    """A state change of a VM."""

    at_s: float
    vm: str
    pool: str
    slots: int
    cause: Cause
    operation: str = ''


@dataclasses.dataclass(slots=True)
class Pool:
    """Slots and missing capacity of one pool, as counted by the check."""

    up_slots: int = 0
    own_slots: int = 0
    missing_s: float = 0.0
    missing_by_own_s: float = 0.0
    missing_slot_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """The result of the check.

    Attributes
    ----------
    violations
        Budgets violated by own actions, and violated rules of moves and
        waves.
    missing_s
        Time that each pool was below its promise for any reason, in seconds.
    missing_slot_s
        Promised slots that were missing, times seconds, over all pools.
    """

    violations: list[str]
    missing_s: Mapping[str, float]
    missing_slot_s: float


def check_trace(
    text: FleetText,
    first: Iterable[TraceLine],
    trace: Iterable[TraceLine],
    end_s: float,
) -> Report:
    """Replay a trace and report violations.

    Parameters
    ----------
    text
        The text in force.
    first
        The VMs at the beginning.
    trace
        What happened to them, in order of time.
    end_s
        End of the run.
    """
    vms = {line.vm: line for line in first}
    pools: dict[str, Pool] = collections.defaultdict(Pool)
    violations = list(_double_operations(trace))
    for line in vms.values():
        _add_slots(pools[line.pool], line, 1)
    now_s = 0.0
    for line in trace:
        _pass_time(text, pools, line.at_s - now_s)
        now_s = line.at_s
        before = vms[line.vm]
        violations.extend(_rule_violations(text, before, line))
        _add_slots(pools[before.pool], before, -1)
        _add_slots(pools[line.pool], line, 1)
        vms[line.vm] = line
        violations.extend(_depth_violations(text, pools, now_s))
    _pass_time(text, pools, end_s - now_s)
    violations.extend(_duration_violations(text, pools))
    return Report(
        violations,
        {name: pool.missing_s for name, pool in pools.items()},
        sum(pool.missing_slot_s for pool in pools.values()),
    )


def _add_slots(pool: Pool, line: TraceLine, sign: int) -> None:
    if line.cause is Cause.UP:
        pool.up_slots += sign * line.slots
    elif line.cause is Cause.OWN:
        pool.own_slots += sign * line.slots


def _pass_time(
    text: FleetText,
    pools: Mapping[str, Pool],
    passed_s: float,
) -> None:
    for name, pool in pools.items():
        missing = _promised(text, name) - pool.up_slots
        # Deferrable work may wait, but not because of own actions.
        waiting = 0 if pool.own_slots else _deferrable(text, name)
        if missing <= waiting:
            continue
        pool.missing_s += passed_s
        pool.missing_slot_s += passed_s * missing
        if missing <= pool.own_slots:
            pool.missing_by_own_s += passed_s


def _promised(text: FleetText, pool: str) -> int:
    return sum(
        service.promised_slots
        for service in text.services.values()
        if service.pool == pool
    )


def _deferrable(text: FleetText, pool: str) -> float:
    return sum(
        service.promised_slots * service.deferrable_ratio
        for service in text.services.values()
        if service.pool == pool
    )


def _depth_violations(
    text: FleetText,
    pools: Mapping[str, Pool],
    now_s: float,
) -> Iterator[str]:
    for service in text.services.values():
        if service.pool is None:
            continue
        pool = pools[service.pool]
        ratio = 1 - service.budget.missing_ratio
        least = _promised(text, service.pool) * ratio
        # Failures may exceed the budget, but own actions may not.
        if pool.up_slots < least <= pool.up_slots + pool.own_slots:
            yield (
                f'{now_s:.0f} s: {service.name} has {pool.up_slots} of'
                f' {least:g} slots, {pool.own_slots} down by own action'
            )


def _duration_violations(
    text: FleetText,
    pools: Mapping[str, Pool],
) -> Iterator[str]:
    for service in text.services.values():
        pool = pools[service.pool or '']
        if pool.missing_by_own_s > service.budget.missing_s:
            yield (
                f'{service.name} was missing {pool.missing_by_own_s:.0f} s'
                f' by own action'
            )


def _rule_violations(
    text: FleetText,
    before: TraceLine,
    after: TraceLine,
) -> Iterator[str]:
    is_up_in_both = before.cause is Cause.UP and after.cause is Cause.UP
    if before.pool != after.pool and is_up_in_both:
        yield f'{after.at_s:.0f} s: {after.vm} changed pools while serving'
    watched = {
        service.pool
        for service in text.services.values()
        if service.mode is ServiceMode.WATCHED
    }
    if after.cause is Cause.OWN and after.pool in watched:
        yield f'{after.at_s:.0f} s: {after.vm} is watched and was touched'


def _double_operations(trace: Iterable[TraceLine]) -> Iterator[str]:
    begun = collections.Counter(
        (line.vm, line.operation) for line in trace if line.operation
    )
    for (vm, operation), times in begun.items():
        if times > 1:
            yield f'{vm} was rebooted {times} times by {operation}'
