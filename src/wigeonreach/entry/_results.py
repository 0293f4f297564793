"""Store the results of requests with idempotency keys in bounded memory."""

from __future__ import annotations

import collections
import dataclasses

from wigeonreach.codes import Outcome, ResultCode
from wigeonreach.entry._attempt import TargetAnswer

_ENTRY_OVERHEAD_BYTES = 256


@dataclasses.dataclass(frozen=True, slots=True)
class KeyResult:
    """Result of a request with an idempotency key.

    Attributes
    ----------
    outcome
        Whether it ran; ``NOT_RUN`` is final, because a key is used only once.
    code
        Numbered reason; ``OK`` with a response.
    detail
        Human-readable description of what happened.
    answer
        The target's complete response, if it is still stored.
    """

    outcome: Outcome
    code: ResultCode
    detail: str = ''
    answer: TargetAnswer | None = None


FORGOTTEN = KeyResult(Outcome.RAN, ResultCode.REQUEST_ANSWER_FORGOTTEN)


class AnswerStore:
    """The newest responses that fit into a given number of bytes.

    Parameters
    ----------
    max_bytes
        Maximum size of the stored bodies, with an overhead for each.
    """

    def __init__(self, max_bytes: int) -> None:
        """Start empty."""
        self._max_bytes = max_bytes
        self._answers: collections.OrderedDict[int, TargetAnswer] = (
            collections.OrderedDict()
        )
        self.kept_bytes = 0

    def put(self, number: int, answer: TargetAnswer) -> None:
        """Store a response and evict the oldest that no longer fit."""
        self._answers[number] = answer
        self.kept_bytes += _size_bytes(answer)
        while self.kept_bytes > self._max_bytes:
            oldest = next(iter(self._answers))
            self.drop(oldest)

    def get(self, number: int) -> TargetAnswer | None:
        """Return a response, or None if it is no longer stored."""
        return self._answers.get(number)

    def drop(self, number: int) -> None:
        """Remove a response."""
        answer = self._answers.pop(number, None)
        if answer is not None:
            self.kept_bytes -= _size_bytes(answer)


def _size_bytes(answer: TargetAnswer) -> int:
    return len(answer.body) + _ENTRY_OVERHEAD_BYTES
