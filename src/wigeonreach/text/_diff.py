"""Compare two configuration texts."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Iterator, Mapping

from wigeonreach.text._model import FleetText, Pool, Service, ServiceMode

_IDENTITY_FIELDS = frozenset(('name',))


class ChangeKind(enum.StrEnum):
    """Kind of change of a part of the text."""

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
        ``TAKEN_OVER`` and ``GIVEN_BACK`` accompany a change of a service's
        mode; ``after`` then names the VMs that become, or cease to be,
        managed.
    path
        Dotted path of the key.
    before, after
        The values as readable text; empty if there is none.
    """

    kind: ChangeKind
    path: str
    before: str
    after: str

    def line(self) -> str:
        """Return the change as one line."""
        if self.kind is ChangeKind.CHANGED:
            return f'{self.path}: {self.before} -> {self.after}'
        content = self.after or self.before
        return f'{self.path}: {self.kind} {content}'.rstrip()


def diff_texts(before: FleetText, after: FleetText) -> Iterator[Change]:
    """Yield the differences between two texts, table by table.

    Parameters
    ----------
    before
        The text in force.
    after
        The proposed text.

    Yields
    ------
    Change
        One difference; none if the texts are equivalent.
    """
    yield from _diff_value('fleet.guard', before.guards, after.guards)
    yield from _diff_fields(
        'maintenance',
        before.maintenance,
        after.maintenance,
    )
    yield from _diff_tables('pools', before.pools, after.pools)
    yield from _diff_tables('services', before.services, after.services)
    yield from _ownership_changes(before, after)
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
        if field.name in _IDENTITY_FIELDS:
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
        yield Change(ChangeKind.CHANGED, path, _format(before), _format(after))


def _format(content: object) -> str:
    if isinstance(content, frozenset):
        return ', '.join(sorted(str(part) for part in content)) or 'none'
    if isinstance(content, tuple):
        return ', '.join(str(part) for part in content) or 'none'
    return 'none' if content is None else str(content)


def _ownership_changes(before: FleetText, after: FleetText) -> Iterator[Change]:
    for name, service in after.services.items():
        old = before.services.get(name)
        was_managed = old is not None and old.mode is ServiceMode.MANAGED
        is_managed = service.mode is ServiceMode.MANAGED
        if was_managed != is_managed and (old or is_managed):
            yield _ownership_change(service, after.pools)


def _ownership_change(service: Service, pools: Mapping[str, Pool]) -> Change:
    pool = pools.get(service.pool or '')
    vms = pool.vms if pool else ()
    is_managed = service.mode is ServiceMode.MANAGED
    return Change(
        ChangeKind.TAKEN_OVER if is_managed else ChangeKind.GIVEN_BACK,
        f'services.{service.name}',
        '',
        'VMs: {0}'.format(_format(vms)),
    )
