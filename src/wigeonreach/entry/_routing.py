"""Choose targets for attempts within the slots allotted to this entry."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable, Collection, Iterator

import msgspec

from wigeonreach.entry._credits import Outgoing, Sharer
from wigeonreach.entry._credits_exchange import CreditExchange
from wigeonreach.entry._ejection import Ejector, Restrictions
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
_PRUNE_INTERVAL_S = 1.0


class _Candidate(msgspec.Struct, frozen=True):
    record: TargetRecord
    key: TargetKey
    in_flight: int
    cost: float


class _AcquiredSlot(msgspec.Struct, frozen=True):
    key: TargetKey
    source: SlotSource


class Router:
    """Allocate the slots of targets to attempts.

    Parameters
    ----------
    sharer
        Identity of this entry and of those that it shares targets with.
    membership
        The targets that may receive new requests.
    rng
        Breaks ties, so that entries do not all choose the same target.
    work_bound_s
        Returns the longest time that a target may work on a request of a
        service, in seconds, counted from when the slot was acquired.
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
        self._acquired: dict[int, _AcquiredSlot] = {}
        self._in_flight: dict[TargetKey, int] = {}
        self._last_number = 0
        self._next_prune_s = 0.0

    def acquire(
        self,
        service: str,
        now_s: float,
        exclude: Collection[str] = (),
    ) -> Slot | None:
        """Acquire a slot of the least loaded target, first in the own zone.

        Parameters
        ----------
        service
            Name of the requested service.
        now_s
            Monotonic time of this process, in seconds.
        exclude
            Ids of targets that a retry must avoid.

        Returns
        -------
        Slot or None
            The slot, which must be released; None if no slot is free.
        """
        for records in self._targets_nearest_first(service, now_s):
            slot = self._acquire_least_loaded(records, exclude, now_s)
            if slot is not None:
                return slot
        self.credits.note_unmet(service, now_s)
        return None

    def release(self, slot: Slot, ending: Ending, now_s: float) -> None:
        """Release a slot after its attempt.

        Parameters
        ----------
        slot
            The slot that ``acquire`` returned; a second release has no effect.
        ending
            How the attempt ended.  If the target may still be working, the
            slot stays occupied until the request has certainly ended.
        now_s
            Monotonic time of this process, in seconds.
        """
        acquired = self._acquired.pop(slot.number, None)
        if acquired is None:
            return
        self._decrement_in_flight(acquired.key)
        free_from_s = now_s
        if ending.may_still_work:
            free_from_s = slot.acquired_s + self._work_bound_s(slot.service)
        acquired.source.give_back(free_from_s)
        self._ejector.health(acquired.key).record(ending, now_s)

    def is_served(self, service: str, now_s: float) -> bool:
        """Whether a service has a target or may be served by another zone."""
        is_known = any(self._targets_nearest_first(service, now_s))
        return is_known or self.credits.may_spill(service, now_s)

    def in_flight_at(self, target_id: str) -> int:
        """Return the number of this entry's requests in flight at a target."""
        return sum(
            count
            for key, count in self._in_flight.items()
            if key.target_id == target_id
        )

    def ejected_targets(self) -> frozenset[TargetKey]:
        """Return the targets that get no requests, or only probes."""
        return self._ejector.ejected_targets()

    def tick(self, now_s: float) -> list[Outgoing]:
        """Run periodic work and return the messages for other entries."""
        if now_s >= self._next_prune_s:
            self._next_prune_s = now_s + _PRUNE_INTERVAL_S
            self._prune(now_s)
        return self.credits.tick(now_s)

    def _prune(self, now_s: float) -> None:
        known = set(itertools.starmap(TargetKey, self._membership.known()))
        self.credits.forget_idle(known, now_s)
        self._ejector.retain(known | set(self._in_flight))

    def _targets_nearest_first(
        self,
        service: str,
        now_s: float,
    ) -> Iterator[list[TargetRecord]]:
        yield self.credits.own_targets(service, now_s)
        yield self.credits.foreign_targets(service)

    def _acquire_least_loaded(
        self,
        records: list[TargetRecord],
        exclude: Collection[str],
        now_s: float,
    ) -> Slot | None:
        # A new connection is opened only while all others are in use, so that
        # limiting the requests in flight limits the connections too.
        candidates = self._candidates(records, exclude, now_s)
        while candidates:
            lowest_cost = min(candidate.cost for candidate in candidates)
            chosen = self._rng.choice(
                [
                    candidate
                    for candidate in candidates
                    if candidate.cost == lowest_cost
                ],
            )
            source = self.credits.take(chosen.record, now_s)
            if source is not None:
                return self._create_slot(chosen, source, now_s)
            candidates.remove(chosen)
        return None

    def _candidates(
        self,
        records: list[TargetRecord],
        exclude: Collection[str],
        now_s: float,
    ) -> list[_Candidate]:
        keys = [_target_key(record) for record in records]
        restrictions = self._ejector.restrictions(keys, now_s)
        candidates = (
            self._candidate(record, key, now_s)
            for record, key in zip(records, keys, strict=True)
            if record.target_id not in exclude
        )
        return [
            candidate
            for candidate in candidates
            if _is_eligible(restrictions, candidate)
            and candidate.in_flight
            < candidate.record.connections // self._sharer.entries
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

    def _create_slot(
        self,
        chosen: _Candidate,
        source: SlotSource,
        now_s: float,
    ) -> Slot:
        self._last_number += 1
        self._acquired[self._last_number] = _AcquiredSlot(chosen.key, source)
        self._in_flight[chosen.key] = chosen.in_flight + 1
        return Slot(
            number=self._last_number,
            service=chosen.record.service,
            target_id=chosen.record.target_id,
            incarnation_ns=chosen.record.incarnation_ns,
            address=chosen.record.address,
            acquired_s=now_s,
        )

    def _decrement_in_flight(self, key: TargetKey) -> None:
        remaining = self._in_flight[key] - 1
        if remaining:
            self._in_flight[key] = remaining
        else:
            self._in_flight.pop(key)


def _is_eligible(restrictions: Restrictions, candidate: _Candidate) -> bool:
    if candidate.key in restrictions.ejected:
        return False
    return not (candidate.in_flight and candidate.key in restrictions.probed)


def _target_key(record: TargetRecord) -> TargetKey:
    return TargetKey(record.target_id, record.incarnation_ns)
