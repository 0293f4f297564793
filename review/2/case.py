"""A task that failed on the only runner that it can run on is never started again."""

from __future__ import annotations

import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import standin

# The rule: `finish_s` after the end of the traffic, nothing of the job has run
# for 3 s though a task's turn has come.
IDLE_S = 3.0
FINISH_S = 14.0
WATCH_S = FINISH_S + 6.0
FAILING = {'is_on': False}


def plan(runner, task, run, spec):
    """Work for half a second; fail while the runner fails all that it starts."""
    is_failing = FAILING['is_on'] and 'large' in runner.labels
    return 0.5, 'failed' if is_failing else 'done'


def case(system, platform, record):
    queue = standin.Queue('r-1', 'desk.example', '/jobs/', 'desk')
    if not standin.Operator(system).send(1, [queue], ['desk']):
        raise standin.CannotRun('no ack of the manifest')
    room = {'cpu': 16000, 'memMb': 32768, 'gpu': 0}
    for at in range(8):
        kind = 'large' if at == 7 else 'small'
        platform.runners.append(standin.Runner(
            system, f'm-{at}', 'desk', standin.ZONES[at % 3], [kind, 'r1-1'], room, plan,
        ))
    time.sleep(3)
    client = standin.Client(system, queue)
    step = {'count': 1, 'cpu': 1000, 'memMb': 256, 'estimatedMs': 500, 'requirements': 'large'}
    FAILING['is_on'] = standin.TROUBLE
    job = standin.new_job_id()
    client.submit_until_accepted(job, 'text', [step])
    # The runner fails all that it starts until two of the three attempts are used.
    until = time.monotonic() + 15
    while standin.TROUBLE and time.monotonic() < until:
        if len(record.of('end-acked', how='failed')) >= 2:
            break
        time.sleep(0.02)
    if standin.TROUBLE and len(record.of('end-acked', how='failed')) < 2:
        raise standin.CannotRun('the runner failed too few runs')
    FAILING['is_on'] = False
    record.add('runner-sound-again')
    began = time.monotonic()
    idle_since = began
    while time.monotonic() - began < WATCH_S:
        if any(runner.at_work() for runner in platform.runners):
            idle_since = time.monotonic()
        _, state = client.state(job)
        if state in {'completed', 'failed'}:
            record.add('ended', state=state)
            return standin.HELD
        time.sleep(0.25)
    idle_s = time.monotonic() - idle_since
    record.add('not-ended', starts=len(record.of('run-started')), idle_s=round(idle_s, 2))
    return standin.BROKEN if idle_s > IDLE_S else standin.HELD


sys.exit(standin.main(HERE / 'record.txt', case))
