"""A job that was given to a crashed worker never counts as pending again."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import harness2 as h

# `visible_ms` + 2 s.
COUNTS_AFTER_S = h.BOUNDS['visible_ms'] / 1000 + 2


async def case(fleet):
    # Seven workers, of which one (0.14) is lost.
    for number in range(7):
        fleet.add_worker(h.Worker(fleet, f'i-{number}', 'desk', fleet.links()))
    await fleet.put_manifest([h.route('r-desk', 'desk')], [h.service('desk')])
    await fleet.wait_heard()
    # Six workers are full for the rest of the case.
    full = {'count': 6, 'cpu': 15000, 'memMb': 1024, 'estimatedMs': 60000, 'antiAffinity': 1}
    if not await fleet.submit(h.new_id(), {'work_s': 60}, [full]):
        raise h.CannotRun('a job was not accepted')
    for _ in range(100):
        if len(fleet.runs) == 6:
            break
        await asyncio.sleep(0.05)
    idle = [worker for worker in fleet.workers if not worker.running]
    if len(idle) != 1:
        raise h.CannotRun('the workers were not filled')
    await asyncio.sleep(1.0)
    if h.TROUBLE:
        idle[0].exit()
        await asyncio.sleep(0.3)
    job = h.new_id()
    step = {'count': 1, 'cpu': 4000, 'memMb': 256, 'estimatedMs': 1000}
    if not await fleet.submit(job, {'work_s': 1}, [step]):
        raise h.CannotRun('a job was not accepted')
    accepted_s = fleet.record.now_s()
    wrong = []
    while fleet.record.now_s() < accepted_s + 20:
        await asyncio.sleep(0.5)
        status, answer = await fleet.client('GET', '')
        has_begun = any(run.task.startswith(job) for _, run in fleet.runs)
        waited_s = fleet.record.now_s() - accepted_s
        if has_begun:
            break
        # The value may be 2 s old, which `visible_ms` + 2 s allows for.
        if waited_s > COUNTS_AFTER_S + 1 and status == 200 and answer['pending'] < 0.5:
            wrong.append(waited_s)
    if wrong:
        return (f'MIXED: `pending` was 0 in {len(wrong)} answers, {wrong[0]:.1f} to {wrong[-1]:.1f} s'
                ' after a job was accepted that had not begun')
    return ''


sys.exit(h.main(__file__, case))
