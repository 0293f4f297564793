"""Track the tickets of one step, and what is known from the advisor's answers."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

# Delay before the next call for a step whose last call failed, or that waits
# although its tickets seem to be enough.
RETRY_DELAY_S = 0.5
# How long a refusal counts.  Who may run a step does not change, so this only
# covers wrong answers, and costs little even if no worker may.
REFUSAL_TTL_S = 10.0
NEVER_S = float('-inf')


@dataclasses.dataclass(slots=True)
class StepTickets:
    """Tickets of one step and the state of its requests.

    Attributes
    ----------
    queue
        Name of the queue of its job.
    tickets
        Ticket and the time until which it can be used, by worker.  An expired
        one shows that the worker may run the step.
    asked_s
        When a call last named a worker that has no ticket.
    refused_s
        When a worker was last refused.
    next_request_s
        Earliest time of the next request.
    enough_since_s
        Since when its tickets have been enough while it waits.
    seen_s
        When it was last seen waiting.
    is_requested
        Whether a request is in flight.
    short_answers
        Answers in a row that allowed too few of the workers.
    failures
        Calls in a row that failed.
    renewals
        Calls in a row for tickets of workers that may all run the step, since
        its tickets were enough.
    is_noted
        Whether it is in the log that too few workers are allowed.
    """

    queue: str
    tickets: dict[str, tuple[str, float]] = dataclasses.field(
        default_factory=dict,
    )
    asked_s: dict[str, float] = dataclasses.field(default_factory=dict)
    refused_s: dict[str, float] = dataclasses.field(default_factory=dict)
    next_request_s: float = NEVER_S
    enough_since_s: float = NEVER_S
    seen_s: float = NEVER_S
    is_requested: bool = False
    short_answers: int = 0
    failures: int = 0
    renewals: int = 0
    is_noted: bool = False

    def ticket(self, worker: str, now_s: float) -> str:
        """Return the valid ticket of a worker, or an empty text."""
        if self.expiry_s(worker) <= now_s:
            return ''
        return self.tickets[worker][0]

    def allows(self, worker: str) -> bool:
        """Whether a worker may run the step; its ticket may have expired."""
        return worker in self.tickets

    def expiry_s(self, worker: str) -> float:
        """Return until when the ticket of a worker can be used."""
        return self.tickets.get(worker, ('', NEVER_S))[1]

    def is_refused(self, worker: str, now_s: float) -> bool:
        """Whether a worker was refused, not long ago."""
        refused_s = self.refused_s.get(worker, NEVER_S)
        return now_s - refused_s < REFUSAL_TTL_S

    def is_stuck(self, has_enough: bool, now_s: float) -> bool:
        """Whether it waits for long although its tickets are enough.

        A task may have to keep away from the workers with a ticket.
        """
        if has_enough:
            self.renewals = 0
        is_new = now_s - self.seen_s > RETRY_DELAY_S
        self.seen_s = now_s
        if is_new or not has_enough:
            self.enough_since_s = now_s
        return now_s - self.enough_since_s >= RETRY_DELAY_S

    def note_allowed(self, tickets: Mapping[str, str], until_s: float) -> None:
        """Store the tickets of an answer."""
        if any(worker not in self.tickets for worker in tickets):
            self.is_noted = False
        for worker, ticket in tickets.items():
            self.tickets[worker] = (ticket, until_s)
            self.asked_s.pop(worker, None)
            self.refused_s.pop(worker, None)
