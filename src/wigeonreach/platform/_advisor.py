"""Ask the platform's advisor which workers may run a step."""

from __future__ import annotations

import msgspec

from wigeonreach.observe import Logger
from wigeonreach.platform._session import PlatformSession, expect_ok
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
        self._session = PlatformSession(address, _TIMEOUT_S, logger)

    async def advise(self, question: Question) -> Advice | None:
        """Return the tickets, or None if there was no answer."""
        if not self._address:
            return None
        job_id, occurrence, step = question.step
        body: dict[str, object] = {
            'step': f'{job_id}.{occurrence}.{step}',
            'workers': question.workers,
        }
        return await self._session.post('/advise', _decode_advice, body)

    async def close(self) -> None:
        """Close the connections."""
        await self._session.close()


def _decode_advice(status: int, body: bytes) -> Advice:
    expect_ok(status)
    answer = _ANSWERS.decode(body)
    return Advice(dict(answer.allowed_workers), answer.validity_ms / 1000)
