"""A queue's service changes while starts are on their way: tasks get stuck."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import harness2 as h

SERVICES = [h.service('desk'), h.service('hall')]
JOBS = 80
GAP_S = 0.02


async def case(fleet):
    for number in range(8):
        fleet.add_worker(h.Worker(
            fleet, f'i-{number}', 'desk' if number < 4 else 'hall', fleet.links()))
    await fleet.put_manifest([h.route('r-main', 'desk')], SERVICES)
    await fleet.wait_heard()
    step = {'count': 6, 'cpu': 250, 'memMb': 256, 'estimatedMs': 2000}
    jobs = []
    for number in range(JOBS):
        job = h.new_id()
        if await fleet.submit(job, {'work_s': 2}, [step]):
            jobs.append(job)
        if number == JOBS // 2 and h.TROUBLE:
            # One valid change: from now on the other service serves the queue.
            await fleet.put_manifest([h.route('r-main', 'hall')], SERVICES)
        await asyncio.sleep(GAP_S)
    if len(jobs) < JOBS:
        raise h.CannotRun('a job was not accepted')
    ended_s = fleet.record.now_s()
    await asyncio.sleep(h.BOUNDS['finish_s'])
    checked_s = fleet.record.now_s()
    await asyncio.sleep(3.5)
    stuck = []
    for job in jobs:
        _, answer = await fleet.client('GET', job)
        works = any(run.task.startswith(job) and (run.ended_s is None or run.ended_s > checked_s)
                    for _, run in fleet.runs)
        if answer.get('state') != 'completed' and not works:
            stuck.append(job)
    for job in stuck:
        done = sorted(run.task for _, run in fleet.runs
                      if run.task.startswith(job) and run.how == 'done')
        fleet.record.write('check', f'{job} is not completed; done: {done}')
    idle = all(not worker.running for worker in fleet.workers)
    if stuck:
        return (f'LOST: {len(stuck)} of {len(jobs)} accepted jobs have nothing running'
                f' {fleet.record.now_s() - ended_s:.0f} s after the last request,'
                f' all workers idle: {idle}')
    return ''


sys.exit(h.main(__file__, case))
