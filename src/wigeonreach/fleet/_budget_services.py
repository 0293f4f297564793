"""Track capacity shortages of services, including their dependencies."""

from __future__ import annotations

import graphlib
from collections.abc import Iterable, Iterator

from wigeonreach.fleet._budget_history import ShortageHistory
from wigeonreach.text import FleetText


class ServiceShortages:
    """The unavailability of each service, including its dependencies.

    A service counts as unavailable while its own pool lacks promised slots,
    or while any service that it depends on is unavailable.

    Parameters
    ----------
    text
        The validated configuration text in force.
    previous
        Shortages under the previous text; services that remain keep the
        budget that they have already spent.
    """

    def __init__(
        self,
        text: FleetText,
        previous: ServiceShortages | None = None,
    ) -> None:
        """Compute the transitive dependencies of each service."""
        self._services = text.services
        self._dependencies = _transitive_dependencies(text)
        self._dependents: dict[str, set[str]] = {
            name: set() for name in text.services
        }
        for name, dependencies in self._dependencies.items():
            for dependency in dependencies:
                self._dependents[dependency].add(name)
        histories = previous.histories if previous else {}
        self.histories: dict[str, ShortageHistory] = {
            name: histories.get(name, ShortageHistory())
            for name in text.services
        }
        short_services = previous.short_services if previous else set()
        self.short_services: set[str] = short_services & text.services.keys()

    def observe(
        self,
        services: Iterable[str],
        now_s: float,
        *,
        is_short: bool,
    ) -> None:
        """Record whether services lack slots of their own from now on."""
        for name in services:
            if is_short == (name in self.short_services):
                continue
            if is_short:
                self.short_services.add(name)
            else:
                self.short_services.discard(name)
            self._update_histories(name, now_s)

    def is_short(self, service: str) -> bool:
        """Return whether the service itself lacks slots."""
        return service in self.short_services

    def short_dependencies(self, services: Iterable[str]) -> Iterator[str]:
        """Yield the dependencies of the given services that lack slots."""
        for name in services:
            yield from sorted(self.short_services & self._dependencies[name])

    def is_unavailable(self, service: str) -> bool:
        """Return whether the service or one of its dependencies lacks slots."""
        return service in self.short_services or bool(
            self.short_services & self._dependencies[service],
        )

    def remaining_s(self, service: str, now_s: float) -> float:
        """Return the unused time budget of a service, in seconds."""
        budget = self._services[service].budget
        used_s = self.histories[service].total_s(now_s, budget.window_s)
        return budget.missing_s - used_s

    def with_dependents(self, services: Iterable[str]) -> Iterator[str]:
        """Yield the given services and all that depend on them."""
        for name in services:
            yield name
            yield from sorted(self._dependents[name])

    def _update_histories(self, changed: str, now_s: float) -> None:
        for name in self.with_dependents((changed,)):
            window_s = self._services[name].budget.window_s
            self.histories[name] = self.histories[name].with_observation(
                now_s,
                window_s,
                is_missing=self.is_unavailable(name),
            )


def _transitive_dependencies(text: FleetText) -> dict[str, set[str]]:
    graph = {
        name: service.depends_on for name, service in text.services.items()
    }
    closures: dict[str, set[str]] = {}
    # In topological order, dependencies come before their dependents.
    for name in graphlib.TopologicalSorter(graph).static_order():
        direct = set(graph[name])
        closures[name] = direct.union(
            *(closures[dependency] for dependency in direct)
        )
    return closures
