"""Client of the advisor, which determines the workers that may run a step."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

import msgspec

from wigeonreach.observe import Logger
from wigeonreach.platform._bodies import (
    NonNegativeInt,
    decode_body,
    decode_entries,
)
from wigeonreach.platform._session import PlatformSession, expect_ok
from wigeonreach.scheduling.placing._advice import Advice, AdviceRequest
from wigeonreach.wire._worker_messages import worker_id_of

# Of a call without a timeout of its own.
_TIMEOUT_S = 3.0


class _AdviceResponse(msgspec.Struct, frozen=True, rename='camel'):
    # Rows of the workers that may run the step.
    allowed_workers: tuple[msgspec.Raw, ...] = ()
    validity_ms: NonNegativeInt = 0


class _TicketRow(msgspec.Struct, frozen=True, array_like=True):
    worker: str
    ticket: str


_RESPONSE_DECODER = msgspec.json.Decoder(_AdviceResponse)
_ROW_DECODER = msgspec.json.Decoder(_TicketRow)


class AdvisorClient:
    """HTTP client of the advisor.

    Parameters
    ----------
    address
        Address of the advisor, or empty if the deployment has none.
    logger
        Logs failed calls.
    """

    def __init__(self, address: str, logger: Logger) -> None:
        """Create a client that connects on its first call."""
        self._address = address
        self._session = PlatformSession(address, _TIMEOUT_S, logger)

    async def advise(
        self, request: AdviceRequest, timeout_s: float
    ) -> Advice | None:
        """Return the tickets for a step, or None without a usable response.

        Parameters
        ----------
        request
            The step, and the workers to ask about.
        timeout_s
            How long to wait for the response, in seconds.
        """
        if not self._address:
            return None
        job_id, occurrence, step = request.step
        incarnations = {worker_id_of(name): name for name in request.workers}
        body: dict[str, object] = {
            'step': f'{job_id}.{occurrence}.{step}',
            'workers': tuple(incarnations),
        }
        advice = await self._session.post(
            '/advise', decode_advice, body, timeout_s=timeout_s
        )
        return advice and key_by_incarnation(advice, incarnations)

    async def close(self) -> None:
        """Close the connections."""
        await self._session.close()


def key_by_incarnation(
    advice: Advice,
    incarnations: Mapping[str, str],
) -> Advice:
    """Return advice keyed by incarnation; the advisor only knows worker ids.

    Parameters
    ----------
    advice
        Advice with tickets keyed by worker id.
    incarnations
        Maps each worker id that was asked about to its incarnation; tickets
        of other workers are dropped.
    """
    tickets = {
        incarnations[worker_id]: ticket
        for worker_id, ticket in advice.tickets.items()
        if worker_id in incarnations
    }
    return dataclasses.replace(advice, tickets=tickets)


def decode_advice(status: int, body: bytes) -> Advice:
    """Decode a response, skipping rows that can't be decoded.

    Parameters
    ----------
    status, body
        HTTP status and body of the advisor's response.

    Returns
    -------
    Advice
        Tickets keyed by worker id.

    Raises
    ------
    PlatformError
        If the advisor rejected the request.
    UnreadableBodyError
        If the body as a whole can't be decoded.
    """
    expect_ok(status)
    response = decode_body(_RESPONSE_DECODER, body)
    rows = decode_entries(_ROW_DECODER, response.allowed_workers)
    tickets = {row.worker: row.ticket for row in rows.readable}
    return Advice(tickets, response.validity_ms / 1000, rows.unreadable)
