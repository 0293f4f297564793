"""Ask replicas on behalf of an operator."""

from __future__ import annotations

import asyncio
import dataclasses
import getpass
from collections.abc import Mapping, Sequence

from wigeonreach.codes import ResultCode
from wigeonreach.exceptions import WireError
from wigeonreach.state import StateClient
from wigeonreach.wire import Member, connect
from wigeonreach.wire._rollout_messages import (
    FollowerStatus,
    ReplicaStatus,
    ReplicaStatusRequest,
)

_STATUS_TIMEOUT_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Spread:
    """Names of the processes that act on a version and of the others."""

    reached: list[str]
    behind: list[str]


def operator_client(replicas: Sequence[Member]) -> StateClient:
    """Return a client that acts in the name of whoever runs the command."""
    return StateClient(getpass.getuser(), replicas)


async def status_of_all(replicas: Sequence[Member]) -> list[ReplicaStatus]:
    """Return the status of each replica that answers."""
    replies = await asyncio.gather(
        *(_status_of(member) for member in replicas),
        return_exceptions=True,
    )
    return [reply for reply in replies if isinstance(reply, ReplicaStatus)]


def followers_by_name(
    statuses: Sequence[ReplicaStatus],
) -> Mapping[str, FollowerStatus]:
    """Return the newest that any replica knows of each follower.

    Parameters
    ----------
    statuses
        What the replicas told.

    Returns
    -------
    dict
        Followers by process name.  A replica that lost one silently may still
        list it with an older version.
    """
    newest: dict[str, FollowerStatus] = {}
    for status in statuses:
        for follower in status.followers:
            known = newest.get(follower.process)
            if known is None or known.version < follower.version:
                newest[follower.process] = follower
    return newest


def find_spread(statuses: Sequence[ReplicaStatus], version: int) -> Spread:
    """Tell which processes act on a version.

    Parameters
    ----------
    statuses
        What the replicas told.
    version
        The version.

    Returns
    -------
    Spread
        Names of all followers and of registered processes that no replica
        reaches at present.
    """
    followers = followers_by_name(statuses)
    expected = set(followers)
    for status in statuses:
        expected.update(status.registered)
    reached = {
        name
        for name, follower in followers.items()
        if follower.version >= version
    }
    return Spread(sorted(reached), sorted(expected - reached))


async def _status_of(replica: Member) -> ReplicaStatus:
    channel = await connect(replica.address, _STATUS_TIMEOUT_S)
    try:
        reply = await channel.request(
            ReplicaStatusRequest(),
            _STATUS_TIMEOUT_S,
        )
    finally:
        await channel.close()
    if isinstance(reply, ReplicaStatus):
        return reply
    raise WireError(ResultCode.WIRE_MALFORMED, type(reply).__name__)
