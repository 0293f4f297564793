"""Choose a target for a request and have it run there."""

from __future__ import annotations

import time

from wigeonreach.codes import Outcome, ResultCode
from wigeonreach.entry._attempt import Attempts, TargetAnswer
from wigeonreach.entry._request import CallerRequest
from wigeonreach.entry._routing import Ending, Router, Slot, ending_of
from wigeonreach.exceptions import AttemptFailedError, RequestRefusedError


class Dispatcher:
    """Give requests to targets that have a free slot.

    Parameters
    ----------
    router
        Hands out the slots of targets.
    attempts
        The connections towards targets.
    """

    def __init__(self, router: Router, attempts: Attempts) -> None:
        """Keep the parts."""
        self._router = router
        self._attempts = attempts

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
        slot = self._acquire(request.service.name)
        # The target may still work on an attempt that is cut off here.
        ending = Ending.ABANDONED
        try:
            answer = await self._attempts.run(request, slot.address)
        except AttemptFailedError as failed:
            ending = Ending.GIVEN_UP
            if failed.outcome is Outcome.NOT_RUN:
                ending = Ending.NOT_SENT
            raise
        else:
            ending = ending_of(answer.status)
            return answer
        finally:
            self._router.release(slot, ending, time.monotonic())

    def _acquire(self, service: str) -> Slot:
        now_s = time.monotonic()
        slot = self._router.acquire(service, now_s)
        if slot is not None:
            return slot
        if self._router.is_served(service, now_s):
            raise RequestRefusedError(ResultCode.REQUEST_QUEUE_FULL, '')
        raise RequestRefusedError(ResultCode.REQUEST_NO_TARGET, '')
