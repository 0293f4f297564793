"""Issue keys and run the request of each key at most once."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import time
from typing import Final

import xxhash

from wigeonreach.codes import Outcome, ResultCode
from wigeonreach.entry._dispatch import Dispatcher
from wigeonreach.entry._keys import Key, KeyCodec
from wigeonreach.entry._keys_table import KeyLimits, KeyTable, Step
from wigeonreach.entry._request import CallerRequest
from wigeonreach.entry._request_reading import KEY_HEADER
from wigeonreach.entry._results import KeyResult
from wigeonreach.entry._settings import EntrySettings
from wigeonreach.exceptions import AttemptFailedError, RequestRefusedError
from wigeonreach.observe import Metrics

IN_PROGRESS: Final = KeyResult(
    Outcome.UNKNOWN,
    ResultCode.REQUEST_KEY_IN_PROGRESS,
)


class KeyOwner:
    """Issues the keys of this entry and runs the requests that use them.

    Parameters
    ----------
    settings
        Name and zone of this entry, and limits of its keys.
    dispatcher
        Sends requests to targets.
    metrics
        Counters.
    """

    def __init__(
        self,
        settings: EntrySettings,
        dispatcher: Dispatcher,
        metrics: Metrics,
    ) -> None:
        """Start a new incarnation that has issued no keys."""
        self.codec = KeyCodec()
        self._dispatcher = dispatcher
        self._metrics = metrics
        self._table = KeyTable(
            settings.zone,
            settings.name,
            self.codec.incarnation,
            KeyLimits(
                settings.key_lifetime_s,
                settings.max_keys,
                settings.max_key_answer_bytes,
            ),
            time.monotonic(),
        )
        self._running: dict[int, asyncio.Task[KeyResult]] = {}

    def issue(self, service: str) -> str:
        """Return the text of a new key for a service.

        Raises
        ------
        RequestRefusedError
            If the maximum number of keys is valid already.
        """
        key = self._table.issue(service, time.monotonic())
        self._metrics.count('keys', 'issued')
        return self.codec.seal(key)

    async def answer(self, request: CallerRequest, key: Key) -> KeyResult:
        """Run a request or return the result of an earlier copy.

        Parameters
        ----------
        request
            The request.
        key
            Key of the request, issued by this incarnation.

        Returns
        -------
        KeyResult
            How the request ended, the same for each of its copies;
            ``IN_PROGRESS`` if it still runs at the deadline.

        Raises
        ------
        RequestRefusedError
            If the key was used with a different request.
        """
        decision = self._table.begin(
            key,
            _fingerprint(request),
            time.monotonic(),
        )
        if isinstance(decision, KeyResult):
            self._metrics.count('keys', 'repeated')
            return decision
        if decision is Step.RUN:
            self._metrics.count('keys', 'run')
            # No await may come between the decision and this assignment.
            self._running[key.number] = asyncio.create_task(
                self._run(request, key.number),
            )
        else:
            self._metrics.count('keys', 'waited')
        return await self._wait(key.number, request.due_s)

    async def _wait(self, number: int, due_s: float) -> KeyResult:
        # A caller that disconnects must not cancel the request of its key.
        running = asyncio.shield(self._running[number])
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(due_s - time.monotonic()):
                return await running
        return IN_PROGRESS

    async def _run(self, request: CallerRequest, number: int) -> KeyResult:
        result = KeyResult(Outcome.UNKNOWN, ResultCode.REQUEST_ANSWER_LOST)
        headers = {**request.headers, KEY_HEADER: request.key}
        try:
            result = await self._dispatch(
                dataclasses.replace(request, headers=headers),
            )
        finally:
            self._running.pop(number)
            self._table.finish(number, result, time.monotonic())
        return result

    async def _dispatch(self, request: CallerRequest) -> KeyResult:
        try:
            answer = await self._dispatcher.run(request)
        except RequestRefusedError as refused:
            return KeyResult(Outcome.NOT_RUN, refused.code, refused.detail)
        except AttemptFailedError as failed:
            return KeyResult(failed.outcome, failed.code, failed.detail)
        return KeyResult(Outcome.RAN, ResultCode.OK, answer=answer)


def _fingerprint(request: CallerRequest) -> int:
    head = f'{request.method} {request.path}\n'.encode()
    return xxhash.xxh3_64_intdigest(head + request.body)
