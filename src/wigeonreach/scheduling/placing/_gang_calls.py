"""Choose the workers that a call to the advisor names for a gang.

A gang starts as a whole, so it needs all its tickets at the same time.  Tickets
of calls that follow each other may expire in turn.  Once enough workers are
known to be allowed, one call therefore names all that the gang needs, however
long the advisor takes for it.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from wigeonreach.jobs import TaskKey
from wigeonreach.scheduling._ready import ReadyStep
from wigeonreach.scheduling.placing._advice_calls import CallSizes
from wigeonreach.scheduling.placing._locality import fits_all_tasks
from wigeonreach.scheduling.placing._step_tickets import StepTickets
from wigeonreach.scheduling.placing._worker_capacity import WorkerCapacity

# The advisor takes no more workers in one call.
_MAX_WORKERS = 100


def workers_for_gang(
    step: ReadyStep,
    known: StepTickets,
    open_workers: Sequence[WorkerCapacity],
    sizes: CallSizes,
    now_s: float,
) -> Sequence[WorkerCapacity]:
    """Return the workers that the next call for a gang names, or none.

    Parameters
    ----------
    step
        The gang.
    known
        Its tickets.
    open_workers
        The workers with capacity for a task of it that are not refused, in the
        order in which they are asked about.
    sizes
        How long calls take, and how many workers they name otherwise.
    now_s
        Clock in seconds.
    """
    allowed = [worker for worker in open_workers if known.allows(worker.name)]
    unknown = [
        worker for worker in open_workers if not known.allows(worker.name)
    ]
    valid = [worker for worker in allowed if known.ticket(worker.name, now_s)]
    lacks_tickets = not fits_all_tasks(step, valid)
    if lacks_tickets and fits_all_tasks(step, allowed):
        needed = _first_fit(step, allowed)
        # If a call can't name all of them, the next one names the others.
        needed.sort(key=lambda worker: known.expiry_s(worker.name))
        return needed[:_MAX_WORKERS]
    if lacks_tickets and not unknown:
        return ()
    least = len(allowed) + sizes.workers(len(step.waiting_tasks))
    others = _first_fit(step, [*allowed, *unknown], least)[len(allowed) :]
    # The tickets that it has must be valid together with those to come.
    answer_s = now_s + sizes.expected_s(len(allowed) + len(others))
    renewed = [
        worker for worker in allowed if known.expiry_s(worker.name) <= answer_s
    ]
    return [*renewed, *others][:_MAX_WORKERS]


def _first_fit(
    step: ReadyStep, workers: Iterable[WorkerCapacity], least: int = 0
) -> list[WorkerCapacity]:
    """Return the first workers that fit all waiting tasks of a step.

    Parameters
    ----------
    step
        The step.
    workers
        The workers; all are returned if the step does not fit.
    least
        Return this many even if fewer would do.
    """
    first = TaskKey(step.job.spec.job_id, step.occurrence, step.step, 0)
    missing = len(step.waiting_tasks)
    chosen: list[WorkerCapacity] = []
    for worker in workers:
        if missing <= 0 and len(chosen) >= least:
            break
        missing -= worker.count(first, step.spec)
        chosen.append(worker)
    return chosen
