"""A call to the advisor that takes longer than 3 s never brings a ticket."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import harness2 as h


async def case(fleet):
    for number in range(12):
        fleet.add_worker(h.Worker(fleet, f'i-{number}', 'desk', fleet.links()))
    # The policy allows all workers.  A call that names twelve of them takes 3.4 s,
    # without the disruption 0.44 s.
    fleet.advised = {worker.name for worker in fleet.workers}
    decision_ms, period_ms = (1000, 200) if h.TROUBLE else (200, 20)
    fleet.advice = {'decisionMs': decision_ms, 'periodMs': period_ms, 'validityMs': 10000}
    await fleet.put_manifest(
        [h.route('r-desk', 'desk', recommendation=fleet.advice)], [h.service('desk')])
    await fleet.wait_heard()
    job = h.new_id()
    step = {'count': 6, 'cpu': 500, 'memMb': 256, 'estimatedMs': 500}
    if not await fleet.submit(job, {'work_s': 0.5}, [step]):
        raise h.CannotRun('the job was not accepted')
    ended_s = fleet.record.now_s()
    await asyncio.sleep(h.BOUNDS['finish_s'])
    for _ in range(6):
        state = (await fleet.client('GET', job))[1].get('state')
        await asyncio.sleep(0.5)
    if state != 'completed' and not fleet.runs:
        return (f'LOST: the accepted job had no start in {fleet.record.now_s() - ended_s:.0f} s;'
                ' twelve workers that may run it were idle all the time')
    return ''


sys.exit(h.main(__file__, case))
