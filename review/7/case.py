"""A failed run of a worker that was cut off for a moment is not counted."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import harness2 as h

MAX_ATTEMPTS = 2
WORK_S = 2.0
# Shorter than a lease (4 s) and than a cut in the site file (5.5 s).
CUT_S = 2.5


async def wait_for_run(fleet, job, number, within_s):
    for _ in range(int(within_s / 0.02)):
        for worker, run in fleet.runs:
            if run.task.startswith(job) and run.number == number:
                return worker, run
        await asyncio.sleep(0.02)
    return None, None


async def case(fleet):
    proxies = {}
    for number in range(6):
        links, own = await fleet.proxied_links(101 + 10 * number)
        worker = fleet.add_worker(h.Worker(fleet, f'i-{number}', 'desk', links))
        proxies[worker.name] = own.values()
    await fleet.put_manifest(
        [h.route('r-hopeless', 'desk', '/hopeless/', priority=1, maxAttempts=MAX_ATTEMPTS),
         h.route('r-urgent', 'desk', '/urgent/')],
        [h.service('desk')])
    await fleet.wait_heard()
    # A job that can never be done; its task may run in copies.
    job = h.new_id()
    step = {'count': 1, 'cpu': 9000, 'memMb': 256, 'estimatedMs': 2000, 'speculative': True}
    if not await fleet.submit(job, {'work_s': WORK_S, 'how': 'failed'}, [step], '/hopeless/'):
        raise h.CannotRun('the job was not accepted')
    first, _ = await wait_for_run(fleet, job, 1, 3)
    if first is None:
        raise h.CannotRun('the job did not start')
    await asyncio.sleep(0.3)
    if h.TROUBLE:
        fleet.record.write('network', f'cuts {first.name} off')
        for proxy in proxies[first.name]:
            proxy.is_cut = True
        await wait_for_run(fleet, job, 2, 2)
    # Urgent work fills the workers for some seconds.
    urgent = {'count': 6, 'cpu': 9000, 'memMb': 256, 'estimatedMs': 6000, 'antiAffinity': 1}
    if not await fleet.submit(h.new_id(), {'work_s': 6}, [urgent], '/urgent/'):
        raise h.CannotRun('the urgent job was not accepted')
    if h.TROUBLE:
        began_s = next(run.began_s for _, run in fleet.runs if run.task.startswith(job))
        await asyncio.sleep(max(began_s + 0.3 + CUT_S - fleet.record.now_s(), 0))
        fleet.record.write('network', f'{first.name} is reachable again')
        for proxy in proxies[first.name]:
            proxy.is_cut = False
    await asyncio.sleep(18)
    await fleet.client('GET', job, None, '/hopeless/')
    noted = sorted(at_s for at_s, task, _, how, _ in fleet.noted
                   if task.startswith(job) and how == 'failed')
    if len(noted) < MAX_ATTEMPTS:
        raise h.CannotRun(f'only {len(noted)} failed ends were taken note of')
    for worker, run in fleet.runs:
        late_s = run.began_s - noted[MAX_ATTEMPTS - 1]
        if run.task.startswith(job) and late_s > 1:
            return (f'BUDGET: run {run.number} starts on {worker.name} {late_s:.1f} s after'
                    f' the end of the last of {MAX_ATTEMPTS} failed runs was taken note of')
    return ''


sys.exit(h.main(__file__, case))
