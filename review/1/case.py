"""Check-ins of another writer make one leader after the other end by itself.

With ``WAY=dropped`` there is no other writer: the operator drops a service of
which a lasting task still runs.
"""

from __future__ import annotations

import os
import pathlib
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import standin

ROOM = {'cpu': 16000, 'memMb': 32768, 'gpu': 0}
# The rule: on half of the core, processes end by themselves three times.
ENDS = 3
HALF = 2
WATCH_S = 75.0
RESTART_AFTER_S = 0.5
# The queue asks for more than its pool holds by turns.
TURN_S = 16.0
JOBS_A_TURN = 24
IS_DROPPED = os.environ.get('WAY') == 'dropped'


def plan(runner, task, run, spec):
    """Work for three seconds, then end as done; or last."""
    return (1000.0 if spec == 'lasts' else 3.0), 'done'


class OtherWriter:
    """Sends a check-in twice a second under an id that no runner has.

    It lacks the lists, the machine, the number of slots and the version, and
    names the service whose machines are off.
    """

    def __init__(self, system, record):
        self._system = system
        self._record = record
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._send, daemon=True)

    def start(self):
        self._thread.start()

    def stop(self):
        self._stop.set()
        if self._thread.is_alive():
            self._thread.join()

    def _send(self):
        number = 0
        while not self._stop.wait(0.5):
            number += 1
            body = {
                'service': 'spare', 'address': '10.9.9.9:80', 'zone': 'zone-a',
                'state': 'ready', 'labels': ['a', 'r1-9'], 'capacity': ROOM,
                'sequence': number,
            }
            core = self._system.controls[number % 3]
            status, text = standin.call(core, 'POST', '/Instances.Heartbeat/i-00000000', body)
            self._record.add('foreign-check-in', sequence=number, core=core[0],
                             status=status, body=text.decode()[:120])


def watch(system, record, ends):
    """Start each core that has ended again, as the platform does."""
    for at, ip in enumerate(system.core_ips):
        name = f'core-{at}'
        code = system.processes[name].poll()
        if code is None:
            continue
        ends[name] += 1
        record.add('core-ended-by-itself', name=name, code=code, times=ends[name])
        time.sleep(RESTART_AFTER_S)
        system.start_core(at)


def drop_service(system, platform, queue):
    """Let a task of another service last, then drop the service and its route."""
    old = standin.Queue('r-2', 'old.example', '/old/', 'old')
    operator = standin.Operator(system)
    if not operator.send(2, [queue, old], ['desk', 'old'], standby='spare'):
        raise standin.CannotRun('no ack of the manifest')
    for at in range(3):
        platform.runners.append(standin.Runner(
            system, f'o-{at}', 'old', standin.ZONES[at % 3], ['a', 'r1-2'], ROOM, plan,
        ))
    time.sleep(2)
    step = {'count': 3, 'cpu': 1000, 'memMb': 256, 'longRunning': True, 'antiAffinity': 1,
            'missAllowed': 1}
    client = standin.Client(system, old)
    client.submit_until_accepted(standin.new_job_id(), 'lasts', [step])
    time.sleep(2)
    if standin.TROUBLE and not operator.send(3, [queue], ['desk'], standby='spare'):
        raise standin.CannotRun('no ack of the manifest')


def case(system, platform, record):
    queue = standin.Queue('r-1', 'desk.example', '/jobs/', 'desk')
    if not standin.Operator(system).send(1, [queue], ['desk'], standby='spare'):
        raise standin.CannotRun('no ack of the manifest')
    for at in range(4):
        platform.runners.append(standin.Runner(
            system, f'm-{at}', 'desk', standin.ZONES[at % 3], ['a', 'r1-1'], ROOM, plan,
        ))
    time.sleep(3)
    writer = OtherWriter(system, record)
    ends = {f'core-{at}': 0 for at, _ in enumerate(system.core_ips)}
    client = standin.Client(system, queue)
    step = {'count': 2, 'cpu': 16000, 'memMb': 256, 'estimatedMs': 3000}
    jobs = []
    try:
        if IS_DROPPED:
            drop_service(system, platform, queue)
        elif standin.TROUBLE:
            writer.start()
        began = time.monotonic()
        while (passed_s := time.monotonic() - began) < WATCH_S:
            turns = int(passed_s // TURN_S) + 1
            if len(jobs) < turns * JOBS_A_TURN:
                jobs.append(standin.new_job_id())
                client.submit(jobs[-1], 'text', [step])
            else:
                time.sleep(0.1)
            watch(system, record, ends)
            if sum(times >= ENDS for times in ends.values()) >= HALF:
                break
    finally:
        writer.stop()
    record.add('ends-by-themselves', **{name.replace('-', '_'): times for name, times in ends.items()})
    is_broken = sum(times >= ENDS for times in ends.values()) >= HALF
    return standin.BROKEN if is_broken else standin.HELD


sys.exit(standin.main(HERE / 'record.txt', case))
