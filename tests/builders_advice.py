"""Build fleets whose queue needs the tickets of an advisor."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from tests.builders_jobs import (
    QUEUE,
    TERM,
    FakeLead,
    job,
    manifest,
    queue,
    step,
)
from wigeonreach.jobs import (
    AddJob,
    AdvicePolicy,
    BeginTerm,
    JobSpec,
    JobStore,
    SetManifest,
)
from wigeonreach.lab import commit
from wigeonreach.scheduling.placing._advice import (
    Advice,
    AdviceRequest,
    age_tickets,
)
from wigeonreach.standins import StandInWorker

# What the policy of a queue says unless a test says otherwise.
POLICY = AdvicePolicy(decision_ms=20, per_worker_ms=5, validity_ms=3000)
_ROUND_S = 0.05
_MS_PER_S = 1000


class AdvisedFleet:
    """A leader with workers and an advisor, in virtual time.

    The advisor handles one call at a time, in turn.

    Parameters
    ----------
    allowed
        Names of the workers on which each step may run.
    count
        Number of workers; the last ones are the fullest.
    jobs
        The jobs.
    policy
        The policy of the queue.
    real
        How long the advisor really takes; as the policy says by default.

    Attributes
    ----------
    allowed
        Names of the workers on which each step may run.
    calls
        The calls that the advisor got.
    """

    def __init__(
        self,
        allowed: Iterable[str],
        count: int,
        jobs: Iterable[JobSpec] = (),
        policy: AdvicePolicy = POLICY,
        real: AdvicePolicy | None = None,
    ) -> None:
        """Accept the jobs."""
        store = JobStore()
        commit(store, SetManifest(manifest(queue(advice=policy))))
        commit(store, BeginTerm(TERM))
        for spec in tuple(jobs) or (job(step(1)),):
            commit(store, AddJob(spec, QUEUE))
        self.allowed = set(allowed)
        self.calls: list[AdviceRequest] = []
        self.lead = FakeLead(store, _workers(count))
        self._real = real or policy
        self._free_at_s = 0.0
        # When a call began and ends, and whether it is answered.
        self._answers: list[tuple[float, float, AdviceRequest, bool]] = []

    @property
    def started(self) -> set[str]:
        """Ids of the jobs with a run on a worker."""
        return {
            run[0].job_id
            for worker in self.lead.workers.values()
            for run in worker.running
        }

    def accept(self, spec: JobSpec) -> None:
        """Submit another job."""
        commit(self.lead.store, AddJob(spec, QUEUE))

    def join(self, name: str) -> None:
        """Add a worker, on a VM of its own."""
        self.lead.workers[name] = StandInWorker(name, f'vm-{name}')

    def seconds_until(self, is_reached: Callable[[], bool]) -> float:
        """Simulate until something is reached, for at most 30 s."""
        began_s = self.lead.now_s
        while not is_reached() and self.lead.now_s - began_s < 30:
            self.round()
        return self.lead.now_s - began_s

    def run(self, for_s: float) -> None:
        """Simulate some time."""
        until_s = self.lead.now_s + for_s
        while self.lead.now_s < until_s:
            self.round()

    def round(self) -> None:
        """Simulate a twentieth of a second."""
        self.lead.round(_ROUND_S)
        advice = self.lead.scheduler.advice
        for request in advice.pop_requests():
            self._call(request)
        now_s = self.lead.now_s
        for call in list(self._answers):
            began_s, ended_s, request, is_answered = call
            if ended_s <= now_s:
                self._answers.remove(call)
                overrun_s = ended_s - began_s - request.expected_s
                answer = age_tickets(self._answer(request), overrun_s)
                advice.record_advice(
                    request, answer if is_answered else None, now_s
                )

    def _call(self, request: AdviceRequest) -> None:
        self.calls.append(request)
        takes_ms = self._real.per_worker_ms * len(request.workers)
        takes_s = (self._real.decision_ms + takes_ms) / _MS_PER_S
        now_s = self.lead.now_s
        waits_s = max(self._free_at_s - now_s, 0)
        self._free_at_s = now_s + waits_s + takes_s
        # The poller counts the calls before it too.
        given_up_s = now_s + waits_s + request.expected_s + request.margin_s
        is_answered = self._free_at_s <= given_up_s
        ended_s = min(self._free_at_s, given_up_s)
        self._answers.append((now_s, ended_s, request, is_answered))

    def _answer(self, request: AdviceRequest) -> Advice:
        tickets = {
            worker: f'{request.step[0]} on {worker}'
            for worker in request.workers
            if worker in self.allowed
        }
        return Advice(tickets, self._real.validity_ms / _MS_PER_S)


def _workers(count: int) -> list[StandInWorker]:
    return [
        StandInWorker(
            f'w{number}', f'vm{number}', cpu_millicores=16_000 - number
        )
        for number in range(count)
    ]
