"""Ask the platform's advisor which workers may run a step."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

import msgspec

from wigeonreach.observe import Logger
from wigeonreach.platform._bodies import (
    Amount,
    decode_body,
    decode_entries,
)
from wigeonreach.platform._session import PlatformSession, expect_ok
from wigeonreach.scheduling._advice import Advice, Question
from wigeonreach.wire._worker_messages import worker_id_of

_TIMEOUT_S = 3.0


class _Answer(msgspec.Struct, frozen=True, rename='camel'):
    # Those that may run the step.
    allowed_workers: tuple[msgspec.Raw, ...] = ()
    validity_ms: Amount = 0


class _Row(msgspec.Struct, frozen=True, array_like=True):
    worker: str
    ticket: str


_ANSWERS = msgspec.json.Decoder(_Answer)
_ROWS = msgspec.json.Decoder(_Row)


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
        names = {worker_id_of(name): name for name in question.workers}
        body: dict[str, object] = {
            'step': f'{job_id}.{occurrence}.{step}',
            'workers': tuple(names),
        }
        advice = await self._session.post('/advise', decode_advice, body)
        return advice and name_incarnations(advice, names)

    async def close(self) -> None:
        """Close the connections."""
        await self._session.close()


def name_incarnations(advice: Advice, names: Mapping[str, str]) -> Advice:
    """Return an answer by incarnation, as the advisor knows ids alone.

    Parameters
    ----------
    advice
        By id.
    names
        The incarnation of each id that was asked for; rows of others are
        dropped.
    """
    tickets = {
        names[worker_id]: ticket
        for worker_id, ticket in advice.tickets.items()
        if worker_id in names
    }
    return dataclasses.replace(advice, tickets=tickets)


def decode_advice(status: int, body: bytes) -> Advice:
    """Return the tickets that can be read.

    Raises
    ------
    PlatformError
        If the advisor refused to answer.
    UnreadableBodyError
        If its answer can't be read.
    """
    expect_ok(status)
    answer = decode_body(_ANSWERS, body)
    rows = decode_entries(_ROWS, answer.allowed_workers)
    tickets = {row.worker: row.ticket for row in rows.sound}
    return Advice(tickets, answer.validity_ms / 1000, rows.unreadable)
