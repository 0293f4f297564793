"""Decide whether a request with a key may run, and never let it run twice."""

from __future__ import annotations

import collections
import dataclasses
import enum
from typing import TypeAlias

from wigeonreach.codes import Outcome, ResultCode
from wigeonreach.entry._keys import Key
from wigeonreach.entry._results import FORGOTTEN, AnswerStore, KeyResult
from wigeonreach.exceptions import RequestRefusedError

_MS_PER_S = 1000


EXPIRED = KeyResult(Outcome.UNKNOWN, ResultCode.REQUEST_KEY_EXPIRED)


@dataclasses.dataclass(frozen=True, slots=True)
class KeyLimits:
    """Bounds of a table.

    Attributes
    ----------
    lifetime_s
        How long a key is valid, in seconds.
    max_keys
        How many valid keys there may be at once; each may take an entry.
    max_answer_bytes
        Bound on the answers kept.
    """

    lifetime_s: float
    max_keys: int
    max_answer_bytes: int


class Step(enum.Enum):
    """What to do with a request besides answering it."""

    RUN = enum.auto()
    WAIT = enum.auto()


Decision: TypeAlias = Step | KeyResult


@dataclasses.dataclass(slots=True)
class _Entry:
    """One key that was used; ``result`` is None while its request runs."""

    fingerprint: int
    expires_ms: int
    result: KeyResult | None = None


class KeyTable:
    """The keys of one incarnation of one entry.

    It lives in memory only: an incarnation that ended can't have anything run
    any more, and the next one never runs its keys.

    Parameters
    ----------
    zone, owner, incarnation
        Written into each key.
    limits
        Bounds on what is remembered.
    started_s
        Monotonic time at which the incarnation began, in seconds.
    """

    def __init__(
        self,
        zone: str,
        owner: str,
        incarnation: str,
        limits: KeyLimits,
        started_s: float,
    ) -> None:
        """Start with no key issued."""
        self._zone = zone
        self._owner = owner
        self._incarnation = incarnation
        self._limits = limits
        self._started_s = started_s
        # Keys are numbered, and expire, in the order in which they are issued.
        self._expiries_ms: collections.deque[int] = collections.deque()
        self._first_number = 0
        self._entries: dict[int, _Entry] = {}
        self._answers = AnswerStore(limits.max_answer_bytes)

    @property
    def remembered(self) -> int:
        """How many used keys are remembered."""
        return len(self._entries)

    @property
    def answer_bytes(self) -> int:
        """How many bytes of answers are kept."""
        return self._answers.kept_bytes

    def issue(self, service: str, now_s: float) -> Key:
        """Return a new key.

        Parameters
        ----------
        service
            The service that it shall be valid for.
        now_s
            Monotonic time, in seconds.

        Returns
        -------
        Key
            The key.

        Raises
        ------
        RequestRefusedError
            If as many keys are valid as can be remembered.
        """
        now_ms = self._now_ms(now_s)
        self._prune(now_ms)
        if len(self._expiries_ms) >= self._limits.max_keys:
            raise RequestRefusedError(
                ResultCode.REQUEST_KEY_LIMIT,
                f'allowed: {self._limits.max_keys} valid keys',
            )
        expires_ms = now_ms + int(self._limits.lifetime_s * _MS_PER_S)
        number = self._first_number + len(self._expiries_ms)
        self._expiries_ms.append(expires_ms)
        return Key(
            self._zone,
            self._owner,
            self._incarnation,
            number,
            expires_ms,
            service,
        )

    def begin(self, key: Key, fingerprint: int, now_s: float) -> Decision:
        """Decide what becomes of a request that came with a key.

        Parameters
        ----------
        key
            A key that this table issued.
        fingerprint
            Hash of the request.
        now_s
            Monotonic time, in seconds.

        Returns
        -------
        Step or KeyResult
            ``RUN`` at most once for each key; then ``WAIT`` until it ended;
            then how it ended.

        Raises
        ------
        RequestRefusedError
            If the key was used with another request.
        """
        now_ms = self._now_ms(now_s)
        self._prune(now_ms)
        entry = self._entries.get(key.number)
        if entry is not None:
            return self._repeat(key.number, entry, fingerprint)
        if key.expires_ms <= now_ms:
            # It may have run and been forgotten.
            return EXPIRED
        self._entries[key.number] = _Entry(fingerprint, key.expires_ms)
        return Step.RUN

    def finish(self, number: int, result: KeyResult, now_s: float) -> None:
        """Remember how the request of a key ended.

        Parameters
        ----------
        number
            Number of a key that was told to run.
        result
            How it ended; ``NOT_RUN`` is final too, since a copy of the same
            request may still be on its way and must then not run.
        now_s
            Monotonic time, in seconds.
        """
        entry = self._entries[number]
        if entry.expires_ms <= self._now_ms(now_s):
            self._entries.pop(number)
            return
        entry.result = dataclasses.replace(result, answer=None)
        if result.answer is not None:
            self._answers.put(number, result.answer)

    def _repeat(self, number: int, entry: _Entry, fingerprint: int) -> Decision:
        if entry.fingerprint != fingerprint:
            raise RequestRefusedError(
                ResultCode.REQUEST_KEY_MISMATCH,
                'the key was used with another request',
            )
        result = entry.result
        if result is None:
            return Step.WAIT
        if result.code is not ResultCode.OK:
            return result
        answer = self._answers.get(number)
        if answer is None:
            return FORGOTTEN
        return dataclasses.replace(result, answer=answer)

    def _prune(self, now_ms: int) -> None:
        expiries_ms = self._expiries_ms
        while expiries_ms and expiries_ms[0] <= now_ms:
            expiries_ms.popleft()
            self._forget(self._first_number)
            self._first_number += 1

    def _forget(self, number: int) -> None:
        entry = self._entries.get(number)
        # What still runs is forgotten once it ended.
        if entry is not None and entry.result is not None:
            self._entries.pop(number)
            self._answers.drop(number)

    def _now_ms(self, now_s: float) -> int:
        return int((now_s - self._started_s) * _MS_PER_S)
