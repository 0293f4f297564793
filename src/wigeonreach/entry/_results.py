"""Keep the first answers of requests with keys, within a bound of bytes."""

from __future__ import annotations

import collections
import dataclasses

from wigeonreach.codes import Outcome, ResultCode
from wigeonreach.entry._attempt import TargetAnswer

_OVERHEAD_BYTES = 256


@dataclasses.dataclass(frozen=True, slots=True)
class KeyResult:
    """What a request with a key ended with.

    Attributes
    ----------
    outcome
        Whether it ran; ``NOT_RUN`` is final, as the key is spent.
    code
        Numbered reason; ``OK`` with an answer.
    detail
        What happened, for a person.
    answer
        The target's whole answer, if it is still known.
    """

    outcome: Outcome
    code: ResultCode
    detail: str = ''
    answer: TargetAnswer | None = None


FORGOTTEN = KeyResult(Outcome.RAN, ResultCode.REQUEST_ANSWER_FORGOTTEN)


class AnswerStore:
    """The newest answers that fit into a number of bytes.

    Parameters
    ----------
    max_bytes
        Bound on the bodies kept, with an overhead for each.
    """

    def __init__(self, max_bytes: int) -> None:
        """Start empty."""
        self._max_bytes = max_bytes
        self._answers: collections.OrderedDict[int, TargetAnswer] = (
            collections.OrderedDict()
        )
        self.kept_bytes = 0

    def put(self, number: int, answer: TargetAnswer) -> None:
        """Keep an answer and forget the oldest that no longer fit."""
        self._answers[number] = answer
        self.kept_bytes += _size_bytes(answer)
        while self.kept_bytes > self._max_bytes:
            oldest = next(iter(self._answers))
            self.drop(oldest)

    def get(self, number: int) -> TargetAnswer | None:
        """Return an answer, or None if it is no longer kept."""
        return self._answers.get(number)

    def drop(self, number: int) -> None:
        """Forget an answer."""
        answer = self._answers.pop(number, None)
        if answer is not None:
            self.kept_bytes -= _size_bytes(answer)


def _size_bytes(answer: TargetAnswer) -> int:
    return len(answer.body) + _OVERHEAD_BYTES
