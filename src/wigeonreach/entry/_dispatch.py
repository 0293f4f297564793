"""Choose a target for a request and have it run there."""

from __future__ import annotations

import random
import time

from wigeonreach.codes import ResultCode
from wigeonreach.entry._attempt import Attempts, TargetAnswer
from wigeonreach.entry._membership import Member, Membership
from wigeonreach.entry._request import CallerRequest
from wigeonreach.entry._routing import choose_target
from wigeonreach.exceptions import RequestRefusedError


class Dispatcher:
    """Give requests to targets that have a free slot.

    Parameters
    ----------
    membership
        The targets.
    attempts
        The connections towards them.
    sharers
        How many entries share each target's slots.
    rng
        Source of random choices.
    """

    def __init__(
        self,
        membership: Membership,
        attempts: Attempts,
        sharers: int,
        rng: random.Random,
    ) -> None:
        """Keep the parts."""
        self._membership = membership
        self._attempts = attempts
        self._sharers = sharers
        self._rng = rng

    async def run(self, request: CallerRequest) -> TargetAnswer:
        """Return a target's whole answer.

        Parameters
        ----------
        request
            What to run.

        Returns
        -------
        TargetAnswer
            The answer.

        Raises
        ------
        RequestRefusedError
            If no target has a free slot.
        """
        member = self._choose(request.service.name)
        member.in_flight += 1
        try:
            return await self._attempts.run(request, member)
        finally:
            member.in_flight -= 1

    def _choose(self, service: str) -> Member:
        members = self._membership.serving(service, time.monotonic())
        if not members:
            raise RequestRefusedError(ResultCode.REQUEST_NO_TARGET, '')
        member = choose_target(members, self._sharers, self._rng)
        if member is None:
            raise RequestRefusedError(ResultCode.REQUEST_QUEUE_FULL, '')
        return member
