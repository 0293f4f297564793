"""Ask replicas on behalf of an operator."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import TypeVar

from wigeonreach.codes import ResultCode
from wigeonreach.exceptions import WireError
from wigeonreach.wire import Member, connect
from wigeonreach.wire._base import WireMessage
from wigeonreach.wire._config_messages import (
    StatusReply,
    StatusRequest,
)

_REPLY_TIMEOUT_S = 8.0
_Reply = TypeVar('_Reply', bound=WireMessage)


async def ask_any(
    replicas: Sequence[Member],
    question: WireMessage,
    reply_type: type[_Reply],
) -> _Reply:
    """Ask replicas in turn until one answers.

    Parameters
    ----------
    replicas
        Whom to ask, in this order.
    question
        The message.
    reply_type
        What is expected.

    Returns
    -------
    WireMessage
        The first reply.

    Raises
    ------
    WireError
        If none answers.
    """
    reasons: list[str] = []
    for replica in replicas:
        try:
            return await ask(replica, question, reply_type)
        except WireError as error:
            reasons.append(f'{replica.name}: {error.detail}')
    raise WireError(ResultCode.WIRE_UNREACHABLE, '; '.join(reasons))


async def ask(
    replica: Member,
    question: WireMessage,
    reply_type: type[_Reply],
) -> _Reply:
    """Ask one replica; raise ``WireError`` if it does not answer."""
    channel = await connect(replica.address)
    try:
        reply = await channel.request(question, _REPLY_TIMEOUT_S)
    finally:
        await channel.close()
    if isinstance(reply, reply_type):
        return reply
    raise WireError(ResultCode.WIRE_MALFORMED, type(reply).__name__)


async def status_of_all(replicas: Sequence[Member]) -> list[StatusReply]:
    """Return the status of each replica that answers."""
    replies = await asyncio.gather(
        *(ask(member, StatusRequest(), StatusReply) for member in replicas),
        return_exceptions=True,
    )
    return [reply for reply in replies if isinstance(reply, StatusReply)]
