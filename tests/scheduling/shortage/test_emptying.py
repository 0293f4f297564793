"""Test that late work gives its VMs to work that can still be in time.

Two pools; the jobs of one have been late for long and fill its VMs, and there
are no others.  Then jobs of the other come.
"""

from __future__ import annotations

import msgspec
import testtools
from testtools import matchers

from tests.builders_jobs import (
    QUEUE,
    SERVICE,
    FakeLead,
    job,
    queue,
    serving_step,
    step,
    store_with,
    workers,
)
from wigeonreach.jobs import (
    AddJob,
    JobSpec,
    Manifest,
    ServiceSpec,
    SetManifest,
)
from wigeonreach.lab import commit
from wigeonreach.scheduling import SchedulingSettings
from wigeonreach.scheduling.pooling import Move
from wigeonreach.scheduling.shortage import emptying_vm
from wigeonreach.standins import StandInWorker

_OTHER = 'other'
_STANDBY = 'standby'
_DROPPED = 'dropped'
_VMS = 6
_MS = 1000
_NONE = matchers.HasLength(0)
_NOW_S = 100.0
_ROUNDS_UNTIL_HEARD = 21
# Acceptance of a job that has been too late for long at that time.
_LONG_AGO_MS = 60_000


def _large(number: int, tasks: int, **changes: object) -> JobSpec:
    """Return a job whose tasks fill half a VM each for two seconds."""
    fields: dict[str, object] = {
        'cpu_millicores': 8000,
        'estimate_ms': 2000,
        **changes,
    }
    return job(step(tasks, **fields), job_id=f'{number:016x}')


def _lead(
    *late: JobSpec, is_shared: bool = True, standby: str = ''
) -> FakeLead:
    """Return a leader whose only pool with VMs runs late jobs."""
    store = store_with()
    services = [ServiceSpec(SERVICE), ServiceSpec(_OTHER)]
    if standby:
        services.append(ServiceSpec(standby, is_standby=True))
    queues = (queue(), queue(_OTHER, service=_OTHER))
    commit(store, SetManifest(Manifest(2, queues, tuple(services))))
    settings = SchedulingSettings(shares_shortage=is_shared)
    lead = FakeLead(store, workers(_VMS), now_s=_NOW_S, settings=settings)
    for _ in range(_ROUNDS_UNTIL_HEARD):
        lead.round()
    for spec in late:
        commit(store, AddJob(spec, QUEUE, _LONG_AGO_MS))
    for _ in range(3):
        lead.round()
    _advance(lead, 10)
    return lead


def _advance(lead: FakeLead, percent: int) -> None:
    """Set the progress of all runs, and report it."""
    for worker in lead.workers.values():
        worker.advance(percent)
    lead.round()


def _urgent(lead: FakeLead, number: int = 900) -> None:
    commit(lead.store, AddJob(_large(number, 8), _OTHER, lead.now_s * _MS))
    lead.round()


def _serve_dropped(lead: FakeLead) -> StandInWorker:
    """Let a worker serve, then drop its service from the manifest."""
    before = lead.store.manifest
    dropped = queue(_DROPPED, service=_DROPPED)
    with_it = Manifest(
        3,
        (*before.queues, dropped),
        (*before.services, ServiceSpec(_DROPPED)),
    )
    commit(lead.store, SetManifest(with_it))
    worker = StandInWorker('serving', 'vm-serving', service=_DROPPED)
    lead.workers[worker.name] = worker
    lead.round()
    serving = job(serving_step(1), job_id=f'{800:016x}')
    commit(lead.store, AddJob(serving, _DROPPED, lead.now_s * _MS))
    lead.round()
    without = msgspec.structs.replace(before, version=4)
    commit(lead.store, SetManifest(without))
    lead.round()
    return worker


def _play(lead: FakeLead, rounds: int = 20) -> list[Move]:
    """Plan moves for some rounds and return them, as if all were refused."""
    found: list[Move] = []
    for _ in range(rounds):
        lead.round()
        found.extend(lead.scheduler.plan_moves(lead.now_s))
    return found


def _play_hearing_first(lead: FakeLead, first: StandInWorker) -> list[Move]:
    """Let the next leader, which hears one worker first, plan moves."""
    heard = [first, *lead.workers.values()]
    successor = FakeLead(lead.store, heard, lead.term + 1, lead.now_s)
    return _play(successor, rounds=45)


class TestLateWork(testtools.TestCase):
    """A pool with nothing but late work, beside one that has no VM."""

    def test_vms_move_to_work_in_time(self) -> None:
        """The late runs there are stopped, and begin again elsewhere."""
        lead = _lead(_large(1, 40))
        _urgent(lead)
        moves = _play(lead)
        self.assertThat(
            {move.to_pool for move in moves}, matchers.Equals({_OTHER})
        )
        names = {note.event.name for note in lead.scheduler.notes}
        self.assertThat(names, matchers.Contains('SHORTAGE_BEGAN'))

    def test_some_vms_stay(self) -> None:
        """Late work keeps a tenth of what it asks for, and goes on."""
        lead = _lead(_large(1, 40))
        _urgent(lead)
        moved = {move.vm for move in _play(lead)}
        self.assertThat(len(moved), matchers.LessThan(_VMS))

    def test_switched_off(self) -> None:
        """Late work keeps its VMs, as without this mechanism."""
        lead = _lead(_large(1, 40), is_shared=False)
        _urgent(lead)
        self.assertThat(_play(lead), _NONE)
        self.assertThat(lead.scheduler.stopping, _NONE)

    def test_jobs_in_time_keep_their_vms(self) -> None:
        """Only late runs are stopped."""
        lead = _lead()
        commit(lead.store, AddJob(_large(1, 12), QUEUE, lead.now_s * _MS))
        for _ in range(3):
            lead.round()
        _urgent(lead)
        _play(lead, rounds=1)
        self.assertThat(lead.scheduler.stopping, _NONE)

    def test_serving_tasks_stay(self) -> None:
        """They are no late work, whenever their job came."""
        serving = {
            'is_service': True,
            'spread_limit': 1,
            'max_unavailable': 1,
            'cpu_millicores': 1000,
        }
        lead = _lead(_large(1, 40), _large(2, _VMS, **serving))
        _urgent(lead)
        self.assertThat(_play(lead), _NONE)


class TestFailures(testtools.TestCase):
    """One failure each while VMs are being emptied."""

    def test_worker_is_lost(self) -> None:
        """Another VM is emptied in its place."""
        lead = _lead(_large(1, 40))
        _urgent(lead)
        lead.scheduler.plan_moves(lead.now_s)
        vm = min(lead.scheduler.pools.cordoned)
        lead.workers = {
            name: worker
            for name, worker in lead.workers.items()
            if worker.vm != vm
        }
        moves = _play(lead, rounds=60)
        self.assertThat(
            len({move.vm for move in moves} - {vm}), matchers.GreaterThan(2)
        )

    def test_move_is_refused(self) -> None:
        """The VM takes tasks again, and is tried again later."""
        lead = _lead(_large(1, 40))
        _urgent(lead)
        refused = _play(lead)[0]
        lead.scheduler.pools.note_failed(refused)
        self.assertThat(
            lead.scheduler.pools.cordoned,
            matchers.Not(matchers.Contains(refused.vm)),
        )

    def test_stop_is_lost(self) -> None:
        """The order is repeated until the run has gone, then the VM moves."""
        lead = _lead(_large(1, 40))
        _urgent(lead)
        lead.scheduler.plan_moves(lead.now_s)
        stopped = set(lead.scheduler.stopping)
        self.assertThat(stopped, matchers.Not(_NONE))
        for worker in lead.workers.values():
            incarnation = lead.scheduler.workers.incarnations[worker.name]
            # The answer with the stops does not arrive.
            lead.scheduler.answers.orders(incarnation, lead.now_s)
        self.assertThat(stopped <= lead.scheduler.stopping, matchers.Is(True))
        self.assertThat(_play(lead), matchers.Not(_NONE))

    def test_next_leader_waits_until_it_knows_the_fleet(self) -> None:
        """It has heard one worker so far, which is no shortage."""
        lead = _lead(_large(1, 40))
        _urgent(lead)
        one = next(iter(lead.workers.values()))
        successor = FakeLead(lead.store, [one], lead.term + 1, lead.now_s)
        _play(successor, rounds=15)
        self.assertThat(successor.scheduler.stopping, _NONE)
        self.assertThat(successor.scheduler.pools.cordoned, _NONE)

    def test_next_leader_decides_the_same(self) -> None:
        """It finds the late jobs by when the store says they came."""
        lead = _lead(_large(1, 40))
        _urgent(lead)
        successor = FakeLead(
            lead.store, lead.workers.values(), lead.term + 1, lead.now_s
        )
        moves = _play(successor, rounds=45)
        self.assertThat(
            {move.to_pool for move in moves}, matchers.Equals({_OTHER})
        )


class TestServicesWithoutPool(testtools.TestCase):
    """Workers of services that have no pool, while VMs are short.

    Guards against a planner that ends its leader, and each leader after it, as
    it looks up the pool of every service that is heard.
    """

    def test_worker_of_the_standby_service(self) -> None:
        """Another writer's heartbeat names the service of the standby VMs."""
        lead = _lead(_large(1, 40), standby=_STANDBY)
        _urgent(lead)
        moves = _play_hearing_first(
            lead, StandInWorker('foreign', '', service=_STANDBY)
        )
        self.assertThat(
            {move.to_pool for move in moves}, matchers.Equals({_OTHER})
        )

    def test_worker_of_a_dropped_service(self) -> None:
        """A lasting task still runs there as the manifest drops its service."""
        lead = _lead(_large(1, 40))
        worker = _serve_dropped(lead)
        _urgent(lead)
        moves = _play_hearing_first(lead, worker)
        self.assertThat(
            {move.to_pool for move in moves}, matchers.Equals({_OTHER})
        )
        self.assertThat(worker.running, matchers.HasLength(1))


class TestEmptyingVm(testtools.TestCase):
    """What emptying one VM takes."""

    def _vm(self, percent: int, **changes: object) -> tuple[int, float]:
        """Return how many runs are stopped, and what they had done."""
        spec = _large(1, 2 * _VMS, **changes)
        lead = _lead(spec)
        _advance(lead, percent)
        incarnation = next(iter(lead.scheduler.workers.incarnations.values()))
        found = emptying_vm(incarnation, lead.store, {(spec.job_id, 0)})
        assert found is not None
        return len(found.stops), found.lost_s

    def test_young_runs_are_stopped(self) -> None:
        """Work in time gains more than stopping them throws away."""
        self.assertThat(
            self._vm(10, cpu_millicores=4000), matchers.Equals((4, 3.2))
        )

    def test_runs_about_to_end_are_left(self) -> None:
        """They end sooner than what they did is done again."""
        stops, _ = self._vm(90)
        self.assertThat(stops, matchers.Equals(0))

    def test_saved_progress_is_not_lost(self) -> None:
        """Such runs go on elsewhere."""
        self.assertThat(
            self._vm(60, cpu_millicores=4000, saves_progress=True),
            matchers.Equals((4, 0.0)),
        )
