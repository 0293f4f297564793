"""Clients are told that there is no such queue, and their jobs run."""

from __future__ import annotations

import pathlib
import signal
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import standin

ROOM = {'cpu': 16000, 'memMb': 32768, 'gpu': 0}
CLIENTS = 40
# Answers that clients have before the entry is frozen, one round for each.
ANSWERED = (1, 4, 2, 8, 1, 6)
FROZEN_S = 1.9
# No answer of the system tells a client that its job was or may be accepted.
REJECTIONS = {404, 429, 503}


def plan(runner, task, run, spec):
    """Work for 0.3 s, then end as done."""
    return 0.3, 'done'


class Round:
    """Clients that hand in one job each; the entry is frozen after some answers."""

    def __init__(self, system, record, queue, number):
        self.statuses = {}
        self.frozen = threading.Event()
        self._lock = threading.Lock()
        self._entry = system.processes['entry-0']
        self._record = record
        self._number = number
        self._client = standin.Client(system, queue)
        self._begin = threading.Event()
        self._threads = [
            threading.Thread(target=self._submit, args=(standin.new_job_id(),), daemon=True)
            for _ in range(CLIENTS)
        ]
        for thread in self._threads:
            thread.start()
        time.sleep(0.2)

    def begin(self):
        """Let the clients begin; return once the entry is frozen."""
        self._begin.set()
        self.frozen.wait(1.0)

    def thaw(self):
        """Let the entry go on, and wait until each client has its answer."""
        if standin.TROUBLE:
            self._entry.send_signal(signal.SIGCONT)
            self._record.add('entry-thawed', round=self._number)
        for thread in self._threads:
            thread.join()

    def _submit(self, job):
        step = {'count': 1, 'cpu': 100, 'memMb': 16, 'estimatedMs': 300}
        self._begin.wait()
        status = self._client.submit(job, 'text', [step])
        with self._lock:
            self.statuses[job] = status
            if len(self.statuses) >= ANSWERED[self._number] and not self.frozen.is_set():
                self._freeze()

    def _freeze(self):
        if standin.TROUBLE:
            self._entry.send_signal(signal.SIGSTOP)
            self._record.add('entry-frozen', round=self._number)
        self.frozen.set()


def play(system, record, operator, version, queues, number):
    """Play one round; return whether a rejected job has started."""
    kept, queue = queues
    clients = Round(system, record, queue, number)
    clients.begin()
    frozen_s = time.monotonic()
    time.sleep(0.05)
    try:
        if not operator.send(version, [kept], ['desk'], within_s=1.5):
            raise standin.CannotRun('no ack of the manifest')
        time.sleep(max(0.0, frozen_s + FROZEN_S - time.monotonic()))
    finally:
        clients.thaw()
    time.sleep(1.5)
    statuses = clients.statuses
    started = {str(event['task']).split('.')[0] for event in record.of('run-started')}
    wronged = [job for job, status in statuses.items() if status in REJECTIONS and job in started]
    for job in wronged:
        record.add('started-though-rejected', job=job, status=statuses[job])
    answers = {}
    for job, status in statuses.items():
        what = f'{status}-{"started" if job in started else "never-started"}'
        answers[what] = answers.get(what, 0) + 1
    record.add('answers', round=number, **answers)
    return bool(wronged)


def case(system, platform, record):
    kept = standin.Queue('r-kept', 'desk.example', '/kept/', 'desk')
    queue = standin.Queue('r-work', 'desk.example', '/jobs/', 'desk')
    operator = standin.Operator(system)
    version = 1
    if not operator.send(version, [kept, queue], ['desk']):
        raise standin.CannotRun('no ack of the manifest')
    for at in range(4):
        platform.runners.append(standin.Runner(
            system, f'm-{at}', 'desk', standin.ZONES[at % 3], ['a', 'r1-1'], ROOM, plan,
        ))
    time.sleep(3)
    for number in range(len(ANSWERED)):
        version += 1
        if play(system, record, operator, version, (kept, queue), number):
            return standin.BROKEN
        version += 1
        if not operator.send(version, [kept, queue], ['desk']):
            raise standin.CannotRun('no ack of the manifest')
        time.sleep(3)
    return standin.HELD


sys.exit(standin.main(HERE / 'record.txt', case))
