"""Draw the jobs of a day: turns of demand, kinds of steps, wrong estimates."""

from __future__ import annotations

import dataclasses
import math
import random
from collections.abc import Iterator

from wigeonreach.jobs import JobSpec, QueueSpec, ServiceSpec, StepSpec

STANDBY = 'standby'
# Of the usual rate, between the turns of a queue.
_OFF_PEAK_RATIO = 0.05
_MS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class KindShares:
    """Which part of the jobs is of each kind; one job may be of several.

    Attributes
    ----------
    near
        Has its data near a rack.
    label
        Needs a label that half of the VMs carry.
    copies
        May run twice at a time.
    timed
        Comes back some times.
    """

    gang: float = 0.0
    near: float = 0.0
    label: float = 0.0
    copies: float = 0.0
    timed: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class DemandPlan:
    """What a day's callers ask for.

    Attributes
    ----------
    services
        Each has one queue and one pool.
    jobs_per_s
        Of each queue in its turn.
    turn_s
        How long a turn lasts; the queues have theirs one after the other.
    length_s
        How long jobs come.
    width, lasts_s, millicores
        Means of a step's tasks, of their time and of their processors.
    estimate_error
        A task takes from 1 less this to 1 plus this of what is declared.
    serving
        Serving tasks of each service.
    """

    services: int = 4
    jobs_per_s: float = 18.0
    peak_s: float = 4.0
    length_s: float = 32.0
    tasks_per_step: float = 6.0
    duration_s: float = 0.8
    millicores: int = 3500
    estimate_error: float = 0.5
    serving_tasks: int = 5
    kinds: KindShares = KindShares()


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A job that comes at a time.

    Attributes
    ----------
    kind
        What it is of, for tables.
    lasts_s
        True time of a task of each step, on a sound worker near its data.
    """

    at_s: float
    queue: str
    spec: JobSpec
    kind: str
    durations_s: tuple[float, ...]


def service_name(number: int) -> str:
    """Return the name of a service, which is that of its queue too."""
    return f'service-{number}'


def queues(plan: DemandPlan) -> tuple[QueueSpec, ...]:
    """Return one queue for each service."""
    names = map(service_name, range(plan.services))
    return tuple(
        QueueSpec(
            name=name,
            host='caller.example',
            path_prefix=f'/{name}/',
            service=name,
            timeout_ms=3000,
            max_failures=2,
            slack_factor=1.6,
            target_latency_ms=3600,
        )
        for name in names
    )


def services(plan: DemandPlan) -> tuple[ServiceSpec, ...]:
    """Return all services, and the pool whose VMs cost nothing."""
    serving = map(service_name, range(plan.services))
    return (
        *(ServiceSpec(name) for name in serving),
        ServiceSpec(STANDBY, is_standby=True),
    )


class Demand:
    """The arrivals of one day.

    Parameters
    ----------
    plan
        What is asked for.
    racks, labels
        Where data may lie, and what may be needed.
    seed
        Of the day.
    """

    def __init__(
        self,
        plan: DemandPlan,
        racks: tuple[str, ...],
        labels: tuple[str, ...],
        seed: int,
    ) -> None:
        """Draw nothing yet."""
        self._plan = plan
        self._racks = racks
        self._labels = labels
        self._rng = random.Random(seed)
        self._serial = 0

    def arrivals(self) -> list[Arrival]:
        """Return all jobs of the day, the earliest in front."""
        found = [
            arrival
            for number in range(self._plan.services)
            for arrival in (*self._serving(number), *self._batch(number))
        ]
        return sorted(found, key=lambda arrival: arrival.at_s)

    def _serving(self, service: int) -> Iterator[Arrival]:
        if self._plan.serving_tasks:
            step = StepSpec(
                count=self._plan.serving_tasks,
                cpu_millicores=6000,
                memory_mb=17_000,
                estimate_ms=900,
                is_service=True,
                spread_limit=2,
                may_miss=1,
            )
            yield self._arrival(0, service, (step,), 'serving', (math.inf,))

    def _batch(self, service: int) -> Iterator[Arrival]:
        at_s = 0.0
        while True:
            at_s += self._rng.expovariate(self._plan.jobs_per_s)
            if at_s > self._plan.length_s:
                return
            turn = int(at_s / self._plan.peak_s) % self._plan.services
            is_turn = turn == service
            if is_turn or self._rng.random() < _OFF_PEAK_RATIO:
                yield self._job(at_s, service)

    def _job(self, at_s: float, service: int) -> Arrival:
        kinds = self._draw_kinds()
        steps = [
            self._step(number, kinds)
            for number in range(self._rng.choice((1, 1, 1, 2, 2, 3)))
        ]
        lasts_s = tuple(
            step.estimate_ms / _MS * self._duration_factor() for step in steps
        )
        name = '+'.join(sorted(kinds)) or 'plain'
        return self._arrival(at_s, service, tuple(steps), name, lasts_s)

    def _draw_kinds(self) -> set[str]:
        shares = dataclasses.asdict(self._plan.kinds)
        return {
            kind for kind, share in shares.items() if self._rng.random() < share
        }

    def _step(self, number: int, kinds: set[str]) -> StepSpec:
        plan = self._plan
        rng = self._rng
        return StepSpec(
            count=max(
                1, round(rng.lognormvariate(0, 0.6) * plan.tasks_per_step)
            ),
            cpu_millicores=round(plan.millicores * rng.uniform(0.5, 1.5)),
            memory_mb=round(3600 * rng.uniform(0.5, 1.5)),
            estimate_ms=round(plan.duration_s * _MS * rng.uniform(0.5, 1.5)),
            after=(number - 1,) if number else (),
            is_gang='gang' in kinds,
            label=rng.choice(self._labels) if 'label' in kinds else '',
            data_rack=rng.choice(self._racks) if 'near' in kinds else '',
            has_copies='copies' in kinds,
        )

    def _duration_factor(self) -> float:
        error = self._plan.estimate_error
        return self._rng.uniform(1 - error, 1 + error)

    def _arrival(
        self,
        at_s: float,
        service: int,
        steps: tuple[StepSpec, ...],
        kind: str,
        lasts_s: tuple[float, ...],
    ) -> Arrival:
        self._serial += 1
        job_id = f'{self._serial:016x}'
        spec = JobSpec(job_id, 'payload', steps)
        if 'timed' in kind:
            spec = JobSpec(
                job_id,
                'payload',
                steps,
                first_due_ms=round(at_s * _MS) + _MS,
                interval_ms=2000,
                occurrences=4,
            )
        return Arrival(at_s, service_name(service), spec, kind, lasts_s)
