"""Random jobs of a day: demand peaks, kinds of steps, estimation errors."""

from __future__ import annotations

import dataclasses
import math
import random
from collections.abc import Iterator

from wigeonreach.jobs import JobSpec, QueueSpec, ServiceSpec, StepSpec

STANDBY = 'standby'
# Share of the peak rate at which jobs arrive outside a queue's peaks.
_OFF_PEAK_RATIO = 0.05
_MS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class KindShares:
    """Share of jobs of each kind; a job may be of several kinds.

    The field names are the names of the kinds.

    Attributes
    ----------
    near
        The data of the job is on one rack.
    label
        The job requires a label that half of the VMs have.
    copies
        Its tasks may run speculatively, two runs at a time.
    timed
        The job recurs several times.
    """

    gang: float = 0.0
    near: float = 0.0
    label: float = 0.0
    copies: float = 0.0
    timed: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Flood:
    """A queue that asks for a multiple of its usual for some time.

    Attributes
    ----------
    service
        Number of the queue's service.
    factor
        Multiple of the usual arrival rate.
    """

    service: int
    begin_s: float
    end_s: float
    factor: float


@dataclasses.dataclass(frozen=True, slots=True)
class DemandPlan:
    """Parameters of the load of one day.

    Attributes
    ----------
    services
        Number of services; each has one queue and one pool.
    jobs_per_s
        Arrival rate of each queue during its peaks.
    peak_s
        Length of a peak; the queues peak one after the other.
    length_s
        Period during which jobs arrive.
    tasks_per_step, duration_s, millicores
        Means of a step's task count, and of its tasks' duration and CPU.
    estimate_error
        The true duration is between 1 minus this and 1 plus this times the
        estimate.
    serving_tasks
        Number of serving tasks of each service.
    floods
        Queues that ask for more than their usual.
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
    floods: tuple[Flood, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A job and when it is submitted.

    Attributes
    ----------
    kind
        Names of its kinds, as shown in tables.
    durations_s
        True duration of a task of each step, on a healthy worker near its
        data.
    """

    at_s: float
    queue: str
    spec: JobSpec
    kind: str
    durations_s: tuple[float, ...]


def service_name(number: int) -> str:
    """Return the name of a service, which is also that of its queue."""
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
    """Return all services, and the standby pool, whose VMs cost nothing."""
    serving = map(service_name, range(plan.services))
    return (
        *(ServiceSpec(name) for name in serving),
        ServiceSpec(STANDBY, is_standby=True),
    )


class Demand:
    """Generator of the arrivals of one day.

    Parameters
    ----------
    plan
        Parameters of the load.
    racks, labels
        Racks that may hold data, and labels that jobs may require.
    seed
        Seed of the day.
    """

    def __init__(
        self,
        plan: DemandPlan,
        racks: tuple[str, ...],
        labels: tuple[str, ...],
        seed: int,
    ) -> None:
        """Seed the random generator."""
        self._plan = plan
        self._racks = racks
        self._labels = labels
        self._rng = random.Random(seed)
        self._serial = 0

    def arrivals(self) -> list[Arrival]:
        """Return all jobs of the day, earliest first."""
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
                max_unavailable=1,
            )
            yield self._arrival(0, service, (step,), 'serving', (math.inf,))

    def _batch(self, service: int) -> Iterator[Arrival]:
        at_s = 0.0
        while True:
            rate = self._plan.jobs_per_s * self._flood_factor(service, at_s)
            at_s += self._rng.expovariate(rate)
            if at_s > self._plan.length_s:
                return
            peaking = int(at_s / self._plan.peak_s) % self._plan.services
            is_peak = peaking == service
            if is_peak or self._rng.random() < _OFF_PEAK_RATIO:
                yield self._job(at_s, service)

    def _flood_factor(self, service: int, at_s: float) -> float:
        factors = (
            flood.factor
            for flood in self._plan.floods
            if flood.service == service and flood.begin_s <= at_s < flood.end_s
        )
        return max(factors, default=1.0)

    def _job(self, at_s: float, service: int) -> Arrival:
        kinds = self._draw_kinds()
        steps = [
            self._step(number, kinds)
            for number in range(self._rng.choice((1, 1, 1, 2, 2, 3)))
        ]
        durations_s = tuple(
            step.estimate_ms / _MS * self._duration_factor() for step in steps
        )
        name = '+'.join(sorted(kinds)) or 'plain'
        return self._arrival(at_s, service, tuple(steps), name, durations_s)

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
        durations_s: tuple[float, ...],
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
        return Arrival(at_s, service_name(service), spec, kind, durations_s)
