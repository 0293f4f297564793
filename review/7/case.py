"""A cancel is answered 410, and the job runs afterwards."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import harness2 as h

# As in the site file.
FREEZE_S = 3.5
CANCEL_S = h.BOUNDS['cancel_ms'] / 1000
KILL_S = h.BOUNDS['killGraceMs'] / 1000


async def case(fleet):
    for number in range(6):
        fleet.add_worker(h.Worker(fleet, f'i-{number}', 'desk', fleet.links()))
    await fleet.put_manifest([h.route('r-desk', 'desk')], [h.service('desk')])
    await fleet.wait_heard()
    await asyncio.sleep(h.BOUNDS['contactMs'] / 1000)
    job = h.new_id()
    phases = [
        {'count': 1, 'cpu': 1000, 'memMb': 256, 'estimatedMs': 5000},
        {'count': 1, 'cpu': 1000, 'memMb': 256, 'estimatedMs': 5000, 'dependsOn': [0]},
    ]
    frozen = fleet.processes['entry-0']
    if h.TROUBLE:
        fleet.record.write('platform', f'entry-0 freezes for {FREEZE_S} s')
        frozen.send_signal(signal.SIGSTOP)
        began_s = fleet.record.now_s()
    try:
        # One attempt; a client that gets no answer in its 3 s gives the job up.
        await fleet.client('POST', job, {'spec': '{"work_s": 5}', 'phases': phases}, entry=0)
        cancelled_s = None
        for attempt in range(1, 5):
            status, _ = await fleet.client('DELETE', job, entry=attempt)
            if status in (200, 410):
                cancelled_s = fleet.record.now_s()
                break
        if cancelled_s is None:
            raise h.CannotRun('the cancel was not acknowledged')
        if h.TROUBLE:
            await asyncio.sleep(max(began_s + FREEZE_S - fleet.record.now_s(), 0))
    finally:
        frozen.send_signal(signal.SIGCONT)
    fleet.record.write('platform', 'entry-0 goes on')
    await asyncio.sleep(14)
    await fleet.client('GET', job, entry=1)
    late = [
        (worker.name, run, run.began_s - cancelled_s)
        for worker, run in fleet.runs
        if run.task.startswith(job) and run.began_s > cancelled_s + CANCEL_S
    ]
    goes_on = [
        (worker.name, run) for worker, run in fleet.runs if run.task.startswith(job)
        and (run.ended_s or fleet.record.now_s()) > cancelled_s + CANCEL_S + KILL_S
    ]
    if late:
        name, run, late_s = late[0]
        return (f'UNASKED: {run.task} starts on {name} {late_s:.1f} s after the cancel of its job'
                f' was acknowledged; {len(goes_on)} runs went on {CANCEL_S + KILL_S:.1f} s after that')
    return ''


sys.exit(h.main(__file__, case, entries=7))
