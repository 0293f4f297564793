"""A policy that forbids the two emptiest workers starves a job for good."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import harness2 as h

FINISH_S = h.BOUNDS['finish_s']


async def case(fleet):
    # Six sound workers with nothing to do; their capacity is "about" the same.
    for number in range(6):
        cpu = 16000 if number < 3 else 15500
        fleet.add_worker(h.Worker(fleet, f'i-{number}', 'desk', fleet.links(), cpu))
    # The policy allows half of the workers, or without the disruption all.
    names = [worker.name for worker in fleet.workers]
    fleet.advised = set(names[3:] if h.TROUBLE else names)
    await fleet.put_manifest(
        [h.route('r-desk', 'desk', recommendation=fleet.advice)], [h.service('desk')])
    await fleet.wait_heard()
    jobs = [h.new_id() for _ in range(3)]
    step = {'count': 1, 'cpu': 500, 'memMb': 256, 'estimatedMs': 500}
    for job in jobs:
        if not await fleet.submit(job, {'work_s': 0.5}, [step]):
            raise h.CannotRun('a job was not accepted')
    ended_s = fleet.record.now_s()
    await asyncio.sleep(FINISH_S)
    # For 3 s more: no task runs although its turn has come and all is free.
    for _ in range(6):
        states = [(await fleet.client('GET', job))[1].get('state') for job in jobs]
        await asyncio.sleep(0.5)
    stuck = [job for job, state in zip(jobs, states)
             if state != 'completed'
             and not any(run.task.startswith(job) for _, run in fleet.runs)]
    if stuck:
        waited_s = fleet.record.now_s() - ended_s
        return (f'LOST: {len(stuck)} of {len(jobs)} accepted jobs had no start in {waited_s:.0f} s;'
                ' three workers that may run them were idle all the time')
    return ''


sys.exit(h.main(__file__, case))
