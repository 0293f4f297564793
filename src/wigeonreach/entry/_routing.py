"""Choose targets and keep within the slots that this entry may fill."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable, Collection, Iterator

import msgspec

from wigeonreach.entry._credits import Outgoing, Sharer
from wigeonreach.entry._credits_exchange import CreditExchange
from wigeonreach.entry._ejection import Ejector, Judgement
from wigeonreach.entry._membership import Membership
from wigeonreach.entry._slots import (
    Ending,
    Slot,
    SlotSource,
    TargetKey,
    ending_of,
)
from wigeonreach.wire._target_messages import TargetRecord

__all__ = ('Ending', 'Router', 'Slot', 'ending_of')

_FAILURE_WEIGHT = 4
_FORGET_EVERY_S = 1.0


class _Candidate(msgspec.Struct, frozen=True):
    record: TargetRecord
    key: TargetKey
    in_flight: int
    cost: float


class _Taken(msgspec.Struct, frozen=True):
    key: TargetKey
    source: SlotSource


class Router:
    """Hand out the slots of targets to attempts.

    Parameters
    ----------
    sharer
        This entry among those that share the targets.
    membership
        The targets that may be given new work.
    rng
        Breaks ties, so that entries do not all choose alike.
    work_bound_s
        Returns the longest time that a target may work on a request of a
        service, in seconds, counted from when the slot was taken.
    """

    def __init__(
        self,
        sharer: Sharer,
        membership: Membership,
        rng: random.Random,
        work_bound_s: Callable[[str], float],
    ) -> None:
        """Start with nothing in flight."""
        self._sharer = sharer
        self._membership = membership
        self._rng = rng
        self._work_bound_s = work_bound_s
        self.credits = CreditExchange(sharer, membership, rng, work_bound_s)
        self._ejector = Ejector()
        self._taken: dict[int, _Taken] = {}
        self._in_flight: dict[TargetKey, int] = {}
        self._last_number = 0
        self._forget_s = 0.0

    def acquire(
        self,
        service: str,
        now_s: float,
        exclude: Collection[str] = (),
    ) -> Slot | None:
        """Take a slot of the target that is best placed to work.

        Parameters
        ----------
        service
            Name of the service asked for.
        now_s
            Monotonic time of this process, in seconds.
        exclude
            Identities of targets that a retry shall avoid.

        Returns
        -------
        Slot or None
            The slot, which must be released; None if no slot is free.
        """
        for records in self._by_distance(service, now_s):
            found = self._best(records, exclude, now_s)
            if found is not None:
                return found
        self.credits.note_unmet(service, now_s)
        return None

    def release(self, slot: Slot, ending: Ending, now_s: float) -> None:
        """Give a slot back once its attempt ended.

        Parameters
        ----------
        slot
            What ``acquire`` returned; a second release changes nothing.
        ending
            How the attempt ended.  If the target may still be working, the
            slot stays occupied until it surely ended.
        now_s
            Monotonic time of this process, in seconds.
        """
        taken = self._taken.pop(slot.number, None)
        if taken is None:
            return
        self._leave(taken.key)
        free_from_s = now_s
        if ending.may_still_work:
            free_from_s = slot.acquired_s + self._work_bound_s(slot.service)
        taken.source.give_back(free_from_s)
        self._ejector.health(taken.key).record(ending, now_s)

    def is_served(self, service: str, now_s: float) -> bool:
        """Whether any target of a service may be given new work, or lent."""
        is_known = any(self._by_distance(service, now_s))
        return is_known or self.credits.may_spill(service, now_s)

    def in_flight_at(self, target_id: str) -> int:
        """Return how many requests are in flight at a target from here."""
        return sum(
            count
            for key, count in self._in_flight.items()
            if key.target_id == target_id
        )

    def ejected_targets(self) -> frozenset[TargetKey]:
        """Return the targets that failed and get no work, or only probes."""
        return self._ejector.failing()

    def tick(self, now_s: float) -> list[Outgoing]:
        """Do what is due and return what to send to other entries."""
        if now_s >= self._forget_s:
            self._forget_s = now_s + _FORGET_EVERY_S
            self._forget(now_s)
        return self.credits.tick(now_s)

    def _forget(self, now_s: float) -> None:
        known = set(itertools.starmap(TargetKey, self._membership.known()))
        self.credits.forget_idle(known, now_s)
        self._ejector.forget(known | set(self._in_flight))

    def _by_distance(
        self,
        service: str,
        now_s: float,
    ) -> Iterator[list[TargetRecord]]:
        yield self.credits.own_targets(service, now_s)
        yield self.credits.foreign_targets(service)

    def _best(
        self,
        records: list[TargetRecord],
        exclude: Collection[str],
        now_s: float,
    ) -> Slot | None:
        # Idle connections never outnumber the most requests that were in
        # flight at once, so that bounding these bounds the connections too.
        candidates = self._candidates(records, exclude, now_s)
        while candidates:
            least = min(one.cost for one in candidates)
            chosen = self._rng.choice(
                [one for one in candidates if one.cost == least],
            )
            source = self.credits.take(chosen.record, now_s)
            if source is not None:
                return self._enter(chosen, source, now_s)
            candidates.remove(chosen)
        return None

    def _candidates(
        self,
        records: list[TargetRecord],
        exclude: Collection[str],
        now_s: float,
    ) -> list[_Candidate]:
        keys = [_key(record) for record in records]
        judgement = self._ejector.judge(keys, now_s)
        candidates = (
            self._candidate(record, key, now_s)
            for record, key in zip(records, keys, strict=True)
            if record.target_id not in exclude
        )
        return [
            one
            for one in candidates
            if _admits(judgement, one)
            and one.in_flight < one.record.connections // self._sharer.entries
        ]

    def _candidate(
        self,
        record: TargetRecord,
        key: TargetKey,
        now_s: float,
    ) -> _Candidate:
        in_flight = self._in_flight.get(key, 0)
        failed_ratio = self._ejector.health(key).recent_failed_ratio(now_s)
        cost = (in_flight + 1) * (1 + _FAILURE_WEIGHT * failed_ratio)
        return _Candidate(record, key, in_flight, cost)

    def _enter(
        self,
        chosen: _Candidate,
        source: SlotSource,
        now_s: float,
    ) -> Slot:
        self._last_number += 1
        self._taken[self._last_number] = _Taken(chosen.key, source)
        self._in_flight[chosen.key] = chosen.in_flight + 1
        return Slot(
            number=self._last_number,
            service=chosen.record.service,
            target_id=chosen.record.target_id,
            incarnation_ns=chosen.record.incarnation_ns,
            address=chosen.record.address,
            acquired_s=now_s,
        )

    def _leave(self, key: TargetKey) -> None:
        left = self._in_flight[key] - 1
        if left:
            self._in_flight[key] = left
        else:
            self._in_flight.pop(key)


def _admits(judgement: Judgement, one: _Candidate) -> bool:
    if one.key in judgement.ejected:
        return False
    return not (one.in_flight and one.key in judgement.probed)


def _key(record: TargetRecord) -> TargetKey:
    return TargetKey(record.target_id, record.incarnation_ns)
