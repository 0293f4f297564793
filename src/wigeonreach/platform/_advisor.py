"""Ask the platform's advisor which workers may run a step."""

from __future__ import annotations

import aiohttp
import msgspec

from wigeonreach.observe import LogEvent, Logger
from wigeonreach.scheduling._advice import Advice, Question

_TIMEOUT_S = 3.0


class _Answer(msgspec.Struct, frozen=True, rename='camel'):
    # Rows of worker and ticket, of those that may run the step.
    allowed_workers: tuple[tuple[str, str], ...] = ()
    validity_ms: int = 0


_ANSWERS = msgspec.json.Decoder(_Answer)


class RecommendationApi:
    """The platform's call for advice.

    Parameters
    ----------
    address
        Of the advisor, or nothing if the deployment has none.
    logger
        Where failed calls are logged.
    """

    def __init__(self, address: str, logger: Logger) -> None:
        """Connect at the first call."""
        self._address = address
        self._log = logger
        self._session: aiohttp.ClientSession | None = None

    async def advise(self, question: Question) -> Advice | None:
        """Return the tickets, or None if there was no answer."""
        if not self._address:
            return None
        job_id, occurrence, step = question.step
        body = {
            'step': f'{job_id}.{occurrence}.{step}',
            'workers': list(question.workers),
        }
        try:
            async with self._open().post(
                f'http://{self._address}/advise',
                json=body,
            ) as response:
                if response.status == 200:
                    return _advice(await response.read())
                self._note_failure(f'status {response.status}')
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            self._note_failure(repr(error))
        return None

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

    def _open(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                timeout=aiohttp.ClientTimeout(total=_TIMEOUT_S),
            )
        return self._session

    def _note_failure(self, reason: str) -> None:
        self._log.warning(LogEvent.PLATFORM_FAULT, call='advise', reason=reason)


def _advice(body: bytes) -> Advice:
    answer = _ANSWERS.decode(body)
    return Advice(dict(answer.allowed_workers), answer.validity_ms / 1000)
