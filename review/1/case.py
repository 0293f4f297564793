"""A check-in of another writer, with fields missing, makes tasks run twice."""

from __future__ import annotations

import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import standin

ROOM = {'cpu': 16000, 'memMb': 32768, 'gpu': 0}
WORK_S = 6.0


def plan(runner, task, run, spec):
    """Work for six seconds, then end as done."""
    return WORK_S, 'done'


def foreign_check_in(system, runner):
    """Send what the runner last said of itself, with fields missing."""
    body = {
        field: value
        for field, value in runner.last_check_in.items()
        if field not in {'running', 'finished'}
    }
    body['capacity'] = {}
    body['sequence'] += 3
    path = f'/Instances.Heartbeat/{runner.id}'
    sent = system.record.add('foreign-check-in', runner=runner.id, sequence=body['sequence'])
    status, text = standin.call(system.controls[0], 'POST', path, body)
    system.record.add('foreign-answered', runner=runner.id, sent_s=sent['at_s'],
                      status=status, body=text.decode()[:200])


def doubled(record):
    """Return the tasks of which two runs were at work at the same time."""
    began = {}
    ended = {}
    for event in list(record.events):
        if event['what'] == 'run-started':
            began[event['task'], event['run'], event['runner']] = event['at_s']
        elif event['what'] == 'run-ended' and event['how'] != 'refused':
            ended[event['task'], event['run'], event['runner']] = event['at_s']
    now = record.now_s()
    found = []
    for first, first_s in began.items():
        for second, second_s in began.items():
            if first[0] != second[0] or first[1] >= second[1]:
                continue
            until = min(ended.get(first, now), ended.get(second, now))
            together = until - max(first_s, second_s)
            if together > 0:
                found.append((first, second, together))
    return found


def case(system, platform, record):
    queue = standin.Queue('r-1', 'desk.example', '/work/', 'desk')
    if not standin.Operator(system).send(1, [queue], ['desk']):
        raise standin.CannotRun('no ack of the manifest')
    for at in range(8):
        platform.runners.append(standin.Runner(
            system, f'm-{at}', 'desk', standin.ZONES[at % 3], ['a', f'r1-{at // 4}'], ROOM, plan,
        ))
    time.sleep(3)
    client = standin.Client(system, queue)
    step = {'count': 1, 'cpu': 16000, 'memMb': 256, 'estimatedMs': 6000}
    jobs = [standin.new_job_id() for _ in range(4)]
    for job in jobs:
        client.submit_until_accepted(job, 'text', [step])
    time.sleep(1.5)
    at_work = [runner for runner in platform.runners if runner.at_work()]
    if len(at_work) < 4:
        raise standin.CannotRun('not all tasks have begun')
    if standin.TROUBLE:
        for runner in at_work[:2]:
            foreign_check_in(system, runner)
    time.sleep(WORK_S + 3)
    for job in jobs:
        client.state(job)
    found = doubled(record)
    for first, second, together in found:
        record.add('two-runs-at-once', task=first[0], runs=f'{first[1]},{second[1]}',
                   runners=f'{first[2]},{second[2]}', together_s=round(together, 2))
    return standin.BROKEN if found else standin.HELD


sys.exit(standin.main(HERE, case))
