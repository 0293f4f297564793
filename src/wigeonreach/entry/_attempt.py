"""Make one attempt to have one target run a request."""

from __future__ import annotations

import dataclasses
import time

import aiohttp
import yarl

from wigeonreach.codes import Outcome, ResultCode
from wigeonreach.entry._request import CallerRequest
from wigeonreach.entry._request_reading import DEADLINE_HEADER
from wigeonreach.exceptions import WigeonreachError

_KEEPALIVE_S = 30
_MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class TargetAnswer:
    """The whole answer of a target."""

    status: int
    content_type: str | None
    body: bytes


class AttemptFailedError(WigeonreachError):
    """An attempt gave no whole answer.

    Parameters
    ----------
    code
        Numbered reason.
    outcome
        Whether the target ran the request, as far as is known.
    detail
        What happened.
    """

    def __init__(
        self,
        code: ResultCode,
        outcome: Outcome,
        detail: str,
    ) -> None:
        """Keep the outcome beside code and detail."""
        super().__init__(code, detail)
        self.outcome = outcome


class Attempts:
    """The connections towards targets."""

    def __init__(self) -> None:
        """Prepare; no connection is opened yet."""
        self._session: aiohttp.ClientSession | None = None

    async def open(self) -> None:
        """Make ready for attempts."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=0,
                keepalive_timeout=_KEEPALIVE_S,
            ),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
        )

    async def close(self) -> None:
        """Close all connections towards targets."""
        if self._session is not None:
            await self._session.close()

    async def run(self, request: CallerRequest, address: str) -> TargetAnswer:
        """Ask a target to run a request and return its whole answer.

        Parameters
        ----------
        request
            What to run; the rest of its deadline is passed on.
        address
            Where the target serves.

        Returns
        -------
        TargetAnswer
            The target's answer.

        Raises
        ------
        AttemptFailedError
            If there is no whole answer in time.
        """
        try:
            return await self._ask(request, address)
        except aiohttp.ClientConnectorError as refused:
            raise AttemptFailedError(
                ResultCode.REQUEST_TARGET_UNREACHABLE,
                Outcome.NOT_RUN,
                type(refused).__name__,
            ) from None
        except (aiohttp.ClientError, OSError, TimeoutError) as lost:
            raise AttemptFailedError(
                ResultCode.REQUEST_ANSWER_LOST,
                Outcome.UNKNOWN,
                type(lost).__name__,
            ) from None

    async def _ask(
        self,
        request: CallerRequest,
        address: str,
    ) -> TargetAnswer:
        assert self._session is not None  # noqa: S101
        left_s = max(0, request.due_s - time.monotonic())
        left_ms = int(left_s * _MS_PER_S)
        async with self._session.request(
            request.method,
            yarl.URL(
                f'http://{address}{request.path}',
                encoded=True,
            ),
            data=request.body,
            headers={**request.headers, DEADLINE_HEADER: str(left_ms)},
            timeout=aiohttp.ClientTimeout(total=left_s),
            # A redirect is the target's answer; following it would run more.
            allow_redirects=False,
        ) as answer:
            return TargetAnswer(
                status=answer.status,
                content_type=answer.headers.get('Content-Type'),
                body=await answer.read(),
            )
