"""Build fleets in which conditions change between a start and its order."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from types import MappingProxyType

from tests.builders_jobs import (
    JOB,
    SERVICE,
    TERM,
    FakeLead,
    job,
    queue,
    step,
)
from tests.builders_workspaces import CLUB, KEY, add, workspace
from wigeonreach.jobs import (
    AdvicePolicy,
    BeginTerm,
    CancelJob,
    JobSpec,
    JobStore,
    Manifest,
    Run,
    RunEnd,
    ServiceSpec,
    SetManifest,
)
from wigeonreach.lab import commit
from wigeonreach.scheduling.placing._advice import Advice
from wigeonreach.standins import StandInWorker
from wigeonreach.workspaces import NO_AMOUNTS, Amounts

OTHER_SERVICE = 'hall'
POLICY = AdvicePolicy(decision_ms=20, per_worker_ms=5, validity_ms=3000)
_LABEL = 'large'
_ROUND_S = 0.1
_WORKERS = 3
_SMALL_MILLICORES = 1000
_FULL_MILLICORES = 16_000
_MS_PER_S = 1000
_PERCENT_PER_S = 2
_WHOLE_PERCENT = 100

# A start is recorded and not sent yet for a worker, and one of its runs.
_Unsent = tuple[str, Run]


class ChangingFleet:
    """Workers of two services, and jobs of one queue.

    Parameters
    ----------
    policy
        The policy of the queue's advisor, which allows every worker.
    jobs
        The jobs; by default one of six tasks.

    Attributes
    ----------
    lead
        The leader.
    longest_unsent_s
        How long a start was neither sent nor withdrawn, at the most.
    sent_tickets
        The tickets of the starts that were sent; empty without one.
    """

    def __init__(
        self,
        policy: AdvicePolicy | None = None,
        jobs: Iterable[JobSpec] = (),
    ) -> None:
        """Accept the jobs; nothing is started yet."""
        self.policy = policy
        self.service = SERVICE
        self.cap = NO_AMOUNTS
        self.keys = (KEY,)
        self.has_queue = True
        self.has_answers = True
        self.longest_unsent_s = 0.0
        self.sent_tickets: set[str] = set()
        self._version = 0
        self._unsent_since_s: dict[_Unsent, float] = {}
        store = JobStore()
        commit(store, BeginTerm(TERM))
        self._everyone = [
            StandInWorker(
                f'{service}{number}',
                f'vm-{service}{number}',
                service=service,
                kind=_LABEL,
            )
            for service in (SERVICE, OTHER_SERVICE)
            for number in range(_WORKERS)
        ]
        self.lead = FakeLead(store, self._everyone)
        self.put_manifest()
        for spec in tuple(jobs) or (job(step(6, label=_LABEL)),):
            add(store, spec)

    @property
    def workers(self) -> list[StandInWorker]:
        """The workers of the first service."""
        return self._everyone[:_WORKERS]

    def put_manifest(self) -> None:
        """Activate a manifest with the current settings of the fleet."""
        self._version += 1
        queues = (queue(service=self.service, advice=self.policy),)
        manifest = Manifest(
            self._version,
            queues if self.has_queue else (),
            (ServiceSpec(SERVICE, False), ServiceSpec(OTHER_SERVICE, False)),
            workspaces=(workspace(CLUB, self.keys, self.cap),),
        )
        commit(self.lead.store, SetManifest(manifest))

    def change_leader(self) -> None:
        """Replace the leader by one that has heard no worker yet."""
        self.lead = FakeLead(
            self.lead.store,
            self._everyone,
            self.lead.term + 1,
            self.lead.now_s,
        )

    def record_starts(self) -> None:
        """Hear all workers, and record starts that are not sent yet."""
        for worker in self._everyone:
            worker.advance(min(int(self.lead.now_s * _PERCENT_PER_S), 99))
            self.lead.hear(worker)
        self.lead.plan()
        if self.policy is not None and self.has_answers:
            self._answer_requests()

    def send_orders(self) -> None:
        """Answer all heartbeats, and count how long starts stay unsent."""
        self._note_unsent()
        incarnations = self.lead.scheduler.workers.incarnations
        for worker in self._everyone:
            known = incarnations.get(worker.incarnation)
            if known is not None:
                orders = self.lead.scheduler.answers.orders(
                    known, self.lead.now_s
                )
                self.sent_tickets.update(
                    start.ticket for start in orders.starts
                )
                worker.obey(orders, percent=0)
        self.lead.now_s += _ROUND_S

    def run(self, for_s: float) -> None:
        """Simulate some time."""
        until_s = self.lead.now_s + for_s
        while self.lead.now_s < until_s:
            self.record_starts()
            self.send_orders()

    def end_some(self, rng: random.Random, percent: int) -> None:
        """End some of the runs well."""
        for worker in self._everyone:
            for run in list(worker.running):
                if rng.random() * _WHOLE_PERCENT < percent:
                    worker.end(run, RunEnd.DONE)

    def unsent(self) -> set[_Unsent]:
        """Return the recorded starts that no worker has begun."""
        return {
            (worker.name, run)
            for worker in self._everyone
            for run in self.lead.store.runs_of(worker.incarnation).items()
            if run not in worker.running
        }

    def _note_unsent(self) -> None:
        now_s = self.lead.now_s
        self._unsent_since_s = {
            start: self._unsent_since_s.get(start, now_s)
            for start in self.unsent()
        }
        for since_s in self._unsent_since_s.values():
            self.longest_unsent_s = max(self.longest_unsent_s, now_s - since_s)

    def _answer_requests(self) -> None:
        assert self.policy is not None
        advice = self.lead.scheduler.advice
        for request in advice.pop_requests():
            tickets = dict.fromkeys(request.workers, 'ticket')
            valid_s = self.policy.validity_ms / _MS_PER_S
            advice.record_advice(
                request, Advice(tickets, valid_s), self.lead.now_s
            )


def _change_service(fleet: ChangingFleet) -> None:
    others = {SERVICE: OTHER_SERVICE, OTHER_SERVICE: SERVICE}
    fleet.service = others[fleet.service]
    fleet.put_manifest()


def _remove_queue(fleet: ChangingFleet) -> None:
    fleet.has_queue = not fleet.has_queue
    fleet.put_manifest()


def _withdraw_key(fleet: ChangingFleet) -> None:
    fleet.keys = (f'{fleet.keys[0]}-next',)
    fleet.put_manifest()


def _lower_cap(fleet: ChangingFleet) -> None:
    lowered = Amounts(_SMALL_MILLICORES)
    fleet.cap = NO_AMOUNTS if fleet.cap == lowered else lowered
    fleet.put_manifest()


def _change_policy(fleet: ChangingFleet) -> None:
    """Require tickets from now on, or none any more."""
    fleet.policy = None if fleet.policy else POLICY
    fleet.put_manifest()


def _let_tickets_lapse(fleet: ChangingFleet) -> None:
    """Let all tickets expire; with a policy the advisor falls silent too."""
    fleet.has_answers = not fleet.has_answers
    fleet.lead.scheduler.advice.forget(JOB)


def _change_label(fleet: ChangingFleet) -> None:
    for worker in fleet.workers:
        worker.kind = 'small' if worker.kind == _LABEL else _LABEL


def _shrink(fleet: ChangingFleet) -> None:
    for worker in fleet.workers:
        is_full = worker.cpu_millicores == _FULL_MILLICORES
        worker.cpu_millicores = 0 if is_full else _FULL_MILLICORES


def _drain(fleet: ChangingFleet) -> None:
    for worker in fleet.workers[1:]:
        worker.is_draining = not worker.is_draining


def _cancel(fleet: ChangingFleet) -> None:
    for job_id in list(fleet.lead.store.jobs)[:1]:
        commit(fleet.lead.store, CancelJob(job_id))


# What may change between the record of a start and its order.
CHANGES: MappingProxyType[str, Callable[[ChangingFleet], None]] = (
    MappingProxyType(
        {
            'service': _change_service,
            'queue removed': _remove_queue,
            'key withdrawn': _withdraw_key,
            'cap': _lower_cap,
            'tickets': _let_tickets_lapse,
            'policy': _change_policy,
            'label': _change_label,
            'capacity': _shrink,
            'drain': _drain,
            'cancel': _cancel,
        }
    )
)
