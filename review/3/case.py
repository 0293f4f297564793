"""Clients are told that there is no such queue, and their jobs run."""

from __future__ import annotations

import pathlib
import signal
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import standin  # noqa: E402

ROOM = {'cpu': 16000, 'memMb': 32768, 'gpu': 0}
CLIENTS = 40
# From the first call to the freeze, one round for each.
DELAYS_S = (0.03, 0.045, 0.06, 0.09, 0.13, 0.02)
FROZEN_S = 1.9
# No answer of the system tells a client that its job was or may be accepted.
REJECTIONS = {404, 429, 503}


def plan(runner, task, run, spec):
    """Work for 0.3 s, then end as done."""
    return 0.3, 'done'


def hand_in(system, queue, statuses):
    """Return threads that hand in one job each, and the event that they wait for."""
    client = standin.Client(system, queue)
    step = {'count': 1, 'cpu': 100, 'memMb': 16, 'estimatedMs': 300}
    begin = threading.Event()

    def submit(job):
        begin.wait()
        statuses[job] = client.submit(job, 'text', [step])

    threads = [
        threading.Thread(target=submit, args=(standin.new_job_id(),)) for _ in range(CLIENTS)
    ]
    for thread in threads:
        thread.start()
    time.sleep(0.2)
    return threads, begin


def play(system, record, operator, version, queues, number):
    """Play one round; return whether a rejected job has started."""
    kept, queue = queues
    entry = system.processes['entry-0']
    statuses = {}
    threads, begin = hand_in(system, queue, statuses)
    begin.set()
    # While the entry waits for the answers to some of the jobs.
    time.sleep(DELAYS_S[number])
    if standin.TROUBLE:
        record.add('entry-frozen', round=number)
        entry.send_signal(signal.SIGSTOP)
    frozen_s = time.monotonic()
    time.sleep(0.05)
    try:
        if not operator.send(version, [kept], ['desk'], within_s=1.5):
            raise standin.CannotRun('no ack of the manifest')
        time.sleep(max(0.0, frozen_s + FROZEN_S - time.monotonic()))
    finally:
        if standin.TROUBLE:
            entry.send_signal(signal.SIGCONT)
            record.add('entry-thawed', round=number)
    for thread in threads:
        thread.join()
    time.sleep(1.5)
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
    queue = standin.Queue('r-work', 'desk.example', '/work/', 'desk')
    operator = standin.Operator(system)
    version = 1
    if not operator.send(version, [kept, queue], ['desk']):
        raise standin.CannotRun('no ack of the manifest')
    for at in range(4):
        platform.runners.append(standin.Runner(
            system, f'm-{at}', 'desk', standin.ZONES[at % 3], ['a', 'r1-1'], ROOM, plan,
        ))
    time.sleep(3)
    for number in range(len(DELAYS_S)):
        version += 1
        if play(system, record, operator, version, (kept, queue), number):
            return standin.BROKEN
        version += 1
        if not operator.send(version, [kept, queue], ['desk']):
            raise standin.CannotRun('no ack of the manifest')
        time.sleep(3)
    return standin.HELD


sys.exit(standin.main(HERE, case))
