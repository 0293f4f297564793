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

_SMOOTHING = 0.05
_FAILURE_WEIGHT = 4


class _Candidate(msgspec.Struct, frozen=True):
    record: TargetRecord
    key: TargetKey
    in_flight: int
    failed_ratio: float

    @property
    def cost(self) -> float:
        """What is in flight, weighed by how often attempts failed there."""
        return (self.in_flight + 1) * (1 + _FAILURE_WEIGHT * self.failed_ratio)


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
        self._service_s: dict[str, float] = {}
        self._last_number = 0

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
        took_s = now_s - slot.acquired_s
        self._ejector.health(taken.key).record(ending, now_s)
        if ending is Ending.ANSWERED:
            self._learn_service_time(slot.service, took_s)

    def is_served(self, service: str, now_s: float) -> bool:
        """Whether any target of a service may be given new work, or lent."""
        is_known = any(self._by_distance(service, now_s))
        return is_known or self.credits.may_spill(service, now_s)

    def usable_slots(self, service: str, now_s: float) -> int:
        """Return how many slots of a service this entry may fill in all."""
        return sum(
            self.credits.free_slots(record, now_s)
            + self._in_flight.get(_key(record), 0)
            for records in self._by_distance(service, now_s)
            for record in records
        )

    def expected_wait_s(
        self,
        service: str,
        waiting: int,
        now_s: float,
    ) -> float | None:
        """Estimate how long a request waits for a slot.

        Parameters
        ----------
        service
            Name of the service.
        waiting
            How many requests wait before it.
        now_s
            Monotonic time of this process, in seconds.

        Returns
        -------
        float or None
            Seconds; None if no slot is in sight at all.
        """
        usable = self.usable_slots(service, now_s)
        if not usable:
            return None
        busy = sum(
            self._in_flight.get(_key(record), 0)
            for records in self._by_distance(service, now_s)
            for record in records
        )
        before = max(0, waiting + 1 - (usable - busy))
        return before * self._service_s.get(service, 0) / usable

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
        known = set(itertools.starmap(TargetKey, self._membership.known()))
        self.credits.forget_idle(known, now_s)
        self._ejector.forget(known | set(self._in_flight))
        return self.credits.tick(now_s)

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
            _Candidate(
                record,
                key,
                self._in_flight.get(key, 0),
                self._ejector.health(key).recent_failed_ratio(now_s),
            )
            for record, key in zip(records, keys, strict=True)
            if record.target_id not in exclude
        )
        return [
            one
            for one in candidates
            if _admits(judgement, one)
            and one.in_flight < one.record.connections // self._sharer.entries
        ]

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

    def _learn_service_time(self, service: str, took_s: float) -> None:
        known_s = self._service_s.get(service, took_s)
        self._service_s[service] = known_s + _SMOOTHING * (took_s - known_s)


def _admits(judgement: Judgement, one: _Candidate) -> bool:
    if one.key in judgement.ejected:
        return False
    return not (one.in_flight and one.key in judgement.probed)


def _key(record: TargetRecord) -> TargetKey:
    return TargetKey(record.target_id, record.incarnation_ns)
