"""Know which services are missing capacity, also by what they need."""

from __future__ import annotations

import graphlib
from collections.abc import Iterable, Iterator

from wigeonreach.fleet._budget_clock import MissingClock
from wigeonreach.text import FleetText


class ServiceClocks:
    """The time that each service was missing, with its dependencies.

    A service is missing while its own pool lacks promised slots, or while
    any service that it depends on is missing.

    Parameters
    ----------
    text
        The checked text in force.
    before
        The clocks of the text before; services keep what they have spent.
    """

    def __init__(
        self,
        text: FleetText,
        before: ServiceClocks | None = None,
    ) -> None:
        """Work out what each service needs, directly or not."""
        self._services = text.services
        self._needs = _closures(text)
        self._dependents: dict[str, set[str]] = {
            name: set() for name in text.services
        }
        for name, needs in self._needs.items():
            for needed in needs:
                self._dependents[needed].add(name)
        known = before.clocks if before else {}
        self.clocks: dict[str, MissingClock] = {
            name: known.get(name, MissingClock()) for name in text.services
        }
        lacking = before.lacking if before else set()
        self.lacking: set[str] = lacking & text.services.keys()

    def observe(
        self,
        services: Iterable[str],
        now_s: float,
        *,
        is_lacking: bool,
    ) -> None:
        """Note whether services lack slots of their own from now on."""
        for name in services:
            if is_lacking == (name in self.lacking):
                continue
            if is_lacking:
                self.lacking.add(name)
            else:
                self.lacking.discard(name)
            self._turn(name, now_s)

    def is_lacking(self, service: str) -> bool:
        """Return whether the service's own slots are missing."""
        return service in self.lacking

    def missing_needs(self, services: Iterable[str]) -> Iterator[str]:
        """Yield what some services depend on and that lacks slots."""
        for name in services:
            yield from sorted(self.lacking & self._needs[name])

    def is_missing(self, service: str) -> bool:
        """Return whether the service or something it needs lacks slots."""
        return service in self.lacking or bool(
            self.lacking & self._needs[service],
        )

    def left_s(self, service: str, now_s: float) -> float:
        """Return how long a service may still be missing, in seconds."""
        budget = self._services[service].budget
        used_s = self.clocks[service].used_s(now_s, budget.window_s)
        return budget.missing_s - used_s

    def affected(self, services: Iterable[str]) -> Iterator[str]:
        """Yield some services and all that depend on them."""
        for name in services:
            yield name
            yield from sorted(self._dependents[name])

    def _turn(self, changed: str, now_s: float) -> None:
        for name in self.affected((changed,)):
            window_s = self._services[name].budget.window_s
            self.clocks[name] = self.clocks[name].observed(
                now_s,
                window_s,
                is_missing=self.is_missing(name),
            )


def _closures(text: FleetText) -> dict[str, set[str]]:
    graph = {
        name: service.depends_on for name, service in text.services.items()
    }
    closures: dict[str, set[str]] = {}
    # What a service needs comes before it in this order.
    for name in graphlib.TopologicalSorter(graph).static_order():
        direct = set(graph[name])
        closures[name] = direct.union(*(closures[one] for one in direct))
    return closures
