"""Say what a new text would change before it is applied."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Iterator, Mapping

from wigeonreach.text._model import FleetText, Pool, Service, ServiceMode

_ALWAYS = frozenset(('name',))


class ChangeKind(enum.StrEnum):
    """How a part of the text changes."""

    ADDED = 'added'
    REMOVED = 'removed'
    CHANGED = 'changed'
    TAKEN_OVER = 'taken-over'
    GIVEN_BACK = 'given-back'


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One difference between two texts.

    Attributes
    ----------
    kind
        ``TAKEN_OVER`` and ``GIVEN_BACK`` stand beside the change of a
        service's mode, and ``after`` names the VMs that may be acted on
        from then on, or no more.
    path
        Dotted key.
    before, after
        The values, as text for a person; empty where there is none.
    """

    kind: ChangeKind
    path: str
    before: str
    after: str

    def line(self) -> str:
        """Return the change on one line."""
        if self.kind is ChangeKind.CHANGED:
            return f'{self.path}: {self.before} -> {self.after}'
        shown = self.after or self.before
        return f'{self.path}: {self.kind} {shown}'.rstrip()


def diff_texts(before: FleetText, after: FleetText) -> Iterator[Change]:
    """Yield what a new text changes, table by table.

    Parameters
    ----------
    before
        The text in force.
    after
        The text proposed.

    Yields
    ------
    Change
        One difference; nothing if the texts mean the same.
    """
    yield from _diff_value('fleet.guard', before.guards, after.guards)
    yield from _diff_fields(
        'maintenance',
        before.maintenance,
        after.maintenance,
    )
    yield from _diff_tables('pools', before.pools, after.pools)
    yield from _diff_tables('services', before.services, after.services)
    yield from _takeovers(before, after)
    yield from _diff_tables('teams', before.teams, after.teams)


def _diff_tables(
    table: str,
    before: Mapping[str, object],
    after: Mapping[str, object],
) -> Iterator[Change]:
    for removed in sorted(before.keys() - after.keys()):
        yield Change(ChangeKind.REMOVED, f'{table}.{removed}', '', '')
    for added in sorted(after.keys() - before.keys()):
        yield Change(ChangeKind.ADDED, f'{table}.{added}', '', '')
    for kept in sorted(before.keys() & after.keys()):
        yield from _diff_fields(f'{table}.{kept}', before[kept], after[kept])


def _diff_fields(path: str, before: object, after: object) -> Iterator[Change]:
    for field in dataclasses.fields(before):  # type: ignore[arg-type]
        if field.name in _ALWAYS:
            continue
        old = getattr(before, field.name)
        new = getattr(after, field.name)
        inner = f'{path}.{field.name}'
        if dataclasses.is_dataclass(old):
            yield from _diff_fields(inner, old, new)
        else:
            yield from _diff_value(inner, old, new)


def _diff_value(path: str, before: object, after: object) -> Iterator[Change]:
    if before != after:
        yield Change(ChangeKind.CHANGED, path, _show(before), _show(after))


def _show(shown: object) -> str:
    if isinstance(shown, frozenset):
        return ', '.join(sorted(str(part) for part in shown)) or 'none'
    if isinstance(shown, tuple):
        return ', '.join(str(part) for part in shown) or 'none'
    return 'none' if shown is None else str(shown)


def _takeovers(before: FleetText, after: FleetText) -> Iterator[Change]:
    for name, service in after.services.items():
        old = before.services.get(name)
        was_managed = old is not None and old.mode is ServiceMode.MANAGED
        is_managed = service.mode is ServiceMode.MANAGED
        if was_managed != is_managed and (old or is_managed):
            yield _takeover(service, after.pools)


def _takeover(service: Service, pools: Mapping[str, Pool]) -> Change:
    pool = pools.get(service.pool or '')
    vms = pool.vms if pool else ()
    is_managed = service.mode is ServiceMode.MANAGED
    return Change(
        ChangeKind.TAKEN_OVER if is_managed else ChangeKind.GIVEN_BACK,
        f'services.{service.name}',
        '',
        'VMs: {0}'.format(_show(vms)),
    )
