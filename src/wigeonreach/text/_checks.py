"""Check a configuration text for contradictions between its parts."""

from __future__ import annotations

import dataclasses
import graphlib
from collections.abc import Iterator

from wigeonreach.codes import ResultCode
from wigeonreach.text._schema import ServiceSchema, TextSchema

_SERVICES = 'services'
_DEPENDS_ON = 'depends_on'


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """One reason to reject a text.

    Attributes
    ----------
    code
        Numbered reason.
    path
        Table names and key at fault, outermost first.
    allowed
        Readable description of what is allowed.
    """

    code: ResultCode
    path: tuple[str, ...]
    allowed: str


def find_faults(schema: TextSchema) -> Iterator[Finding]:
    """Yield every contradiction between the parts of a text.

    Parameters
    ----------
    schema
        A text that is valid by its schema.

    Yields
    ------
    Finding
        One contradiction, with the path of the key at fault.
    """
    yield from _unknown_references(schema)
    yield from _dependency_cycles(schema)
    yield from _vms_in_two_pools(schema)
    yield from _impossible_budgets(schema)
    yield from _budgets_below_dependencies(schema)


def _unknown_references(schema: TextSchema) -> Iterator[Finding]:
    known = ', '.join(sorted(schema.services))
    for name, service in schema.services.items():
        unknown = [
            other
            for other in service.depends_on
            if other not in schema.services
        ]
        if unknown:
            yield Finding(
                ResultCode.TEXT_UNKNOWN_REFERENCE,
                (_SERVICES, name, _DEPENDS_ON),
                f'{unknown[0]!r} is not a service; allowed: {known}',
            )
        if service.pool is not None and service.pool not in schema.pools:
            pools = ', '.join(sorted(schema.pools))
            yield Finding(
                ResultCode.TEXT_UNKNOWN_REFERENCE,
                (_SERVICES, name, 'pool'),
                f'{service.pool!r} is not a pool; allowed: {pools}',
            )


def _dependency_cycles(schema: TextSchema) -> Iterator[Finding]:
    graph = {
        name: service.depends_on for name, service in schema.services.items()
    }
    try:
        graphlib.TopologicalSorter(graph).prepare()
    except graphlib.CycleError as error:
        cycle = error.args[1]
        yield Finding(
            ResultCode.TEXT_DEPENDENCY_CYCLE,
            (_SERVICES, cycle[0], _DEPENDS_ON),
            'dependencies must not form a cycle: {0}'.format(
                ' -> '.join(cycle),
            ),
        )


def _vms_in_two_pools(schema: TextSchema) -> Iterator[Finding]:
    owner: dict[str, str] = {}
    for name, pool in schema.pools.items():
        for vm in pool.vms:
            first = owner.get(vm)
            if first is not None:
                yield Finding(
                    ResultCode.TEXT_VM_IN_TWO_POOLS,
                    ('pools', name, 'vms'),
                    f'{vm!r} already belongs to pool {first!r}',
                )
            owner.setdefault(vm, name)


def _impossible_budgets(schema: TextSchema) -> Iterator[Finding]:
    for name, service in schema.services.items():
        if service.budget.missing_s > service.budget.window_s:
            yield Finding(
                ResultCode.TEXT_IMPOSSIBLE_BUDGET,
                (_SERVICES, name, 'budget', 'missing_s'),
                f'at most window_s ({service.budget.window_s:g})',
            )
        if service.promised_slots and _is_pool_empty(schema, service.pool):
            yield Finding(
                ResultCode.TEXT_IMPOSSIBLE_BUDGET,
                (_SERVICES, name, 'promised_slots'),
                f'0, because pool {service.pool!r} has no VMs',
            )


def _is_pool_empty(schema: TextSchema, name: str | None) -> bool:
    pool = schema.pools.get(name or '')
    return pool is not None and not pool.vms


def _budgets_below_dependencies(schema: TextSchema) -> Iterator[Finding]:
    for name, service in schema.services.items():
        allowed = _missing_fraction(service)
        for other in service.depends_on:
            dependency = schema.services.get(other)
            # A service is unavailable while one of its dependencies is.
            if dependency and _missing_fraction(dependency) > allowed:
                yield Finding(
                    ResultCode.TEXT_IMPOSSIBLE_BUDGET,
                    (_SERVICES, name, 'budget', 'missing_s'),
                    'at least the share of time that {0!r}, on which it'
                    ' depends, may be missing: {1:g} s in {2:g} s'.format(
                        other,
                        dependency.budget.missing_s,
                        dependency.budget.window_s,
                    ),
                )


def _missing_fraction(service: ServiceSchema) -> float:
    return service.budget.missing_s / service.budget.window_s
