"""Record the use of keys so that each runs at most one request."""

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
    """Limits of a key table.

    Attributes
    ----------
    lifetime_s
        How long a key is valid, in seconds.
    max_keys
        Maximum number of valid keys, and so of records of used keys.
    max_answer_bytes
        Maximum size of all stored responses, in bytes.
    """

    lifetime_s: float
    max_keys: int
    max_answer_bytes: int


class Step(enum.Enum):
    """How to proceed with a request that has no result yet."""

    RUN = enum.auto()
    WAIT = enum.auto()


Decision: TypeAlias = Step | KeyResult


@dataclasses.dataclass(slots=True)
class _KeyRecord:
    """A used key; ``result`` is None while its request runs."""

    fingerprint: int
    expires_ms: int
    result: KeyResult | None = None


class KeyTable:
    """The keys of one incarnation of one entry.

    The table is kept in memory only.  An ended incarnation dispatches nothing
    more, and the next one never accepts its keys.

    Parameters
    ----------
    zone, owner, incarnation
        Fields of each issued key.
    limits
        Limits on the keys and responses kept.
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
        """Start without any key."""
        self._zone = zone
        self._owner = owner
        self._incarnation = incarnation
        self._limits = limits
        self._started_s = started_s
        # Keys are numbered in the order of issue, and expire in the same order.
        self._expiries_ms: collections.deque[int] = collections.deque()
        self._first_number = 0
        self._records: dict[int, _KeyRecord] = {}
        self._answers = AnswerStore(limits.max_answer_bytes)

    @property
    def remembered(self) -> int:
        """Number of records of used keys."""
        return len(self._records)

    @property
    def answer_bytes(self) -> int:
        """Size of all stored responses, in bytes."""
        return self._answers.kept_bytes

    def issue(self, service: str, now_s: float) -> Key:
        """Return a new key.

        Parameters
        ----------
        service
            Name of the service that the key is valid for.
        now_s
            Monotonic time, in seconds.

        Returns
        -------
        Key
            The key.

        Raises
        ------
        RequestRefusedError
            If the maximum number of keys is valid already.
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
        """Decide how to proceed with a request that carries a key.

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
            ``RUN`` at most once for each key, ``WAIT`` while that request
            runs, and its result afterwards; ``EXPIRED`` for an expired key
            without a record.

        Raises
        ------
        RequestRefusedError
            If the key was used with a different request.
        """
        now_ms = self._now_ms(now_s)
        self._prune(now_ms)
        record = self._records.get(key.number)
        if record is not None:
            return self._answer_repeated(key.number, record, fingerprint)
        if key.expires_ms <= now_ms:
            # A request may have run under it and its record been pruned.
            return EXPIRED
        self._records[key.number] = _KeyRecord(fingerprint, key.expires_ms)
        return Step.RUN

    def finish(self, number: int, result: KeyResult, now_s: float) -> None:
        """Record how the request of a key ended.

        Parameters
        ----------
        number
            Number of a key for which ``begin`` returned ``RUN``.
        result
            How the request ended.  ``NOT_RUN`` is final too: the caller may
            rely on it, so a copy that arrives later must not run.
        now_s
            Monotonic time, in seconds.
        """
        record = self._records[number]
        if record.expires_ms <= self._now_ms(now_s):
            self._records.pop(number)
            return
        record.result = dataclasses.replace(result, answer=None)
        if result.answer is not None:
            self._answers.put(number, result.answer)

    def _answer_repeated(
        self, number: int, record: _KeyRecord, fingerprint: int
    ) -> Decision:
        if record.fingerprint != fingerprint:
            raise RequestRefusedError(
                ResultCode.REQUEST_KEY_MISMATCH,
                'the key was used with another request',
            )
        result = record.result
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
        record = self._records.get(number)
        # The record of a running request is removed when it ends.
        if record is not None and record.result is not None:
            self._records.pop(number)
            self._answers.drop(number)

    def _now_ms(self, now_s: float) -> int:
        return int((now_s - self._started_s) * _MS_PER_S)
