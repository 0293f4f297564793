"""Query replicas on behalf of an operator."""

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
class RolloutProgress:
    """Which processes have applied a version.

    Attributes
    ----------
    reached
        Names of the processes that run this version or a newer one.
    behind
        Names of the other expected processes.
    """

    reached: list[str]
    behind: list[str]


def operator_client(replicas: Sequence[Member]) -> StateClient:
    """Return a client that acts as the user who runs the command."""
    return StateClient(getpass.getuser(), replicas)


async def status_of_all(replicas: Sequence[Member]) -> list[ReplicaStatus]:
    """Return the status of each replica that responds."""
    replies = await asyncio.gather(
        *(_fetch_status(member) for member in replicas),
        return_exceptions=True,
    )
    return [reply for reply in replies if isinstance(reply, ReplicaStatus)]


def followers_by_name(
    statuses: Sequence[ReplicaStatus],
) -> Mapping[str, FollowerStatus]:
    """Return the newest status of each follower over all replicas.

    Parameters
    ----------
    statuses
        Status of each replica that responded.

    Returns
    -------
    dict
        Followers by process name.  A replica whose connection to a follower
        broke unnoticed may still list it with an older version, so the
        newest version counts.
    """
    newest: dict[str, FollowerStatus] = {}
    for status in statuses:
        for follower in status.followers:
            known = newest.get(follower.process)
            if known is None or known.version < follower.version:
                newest[follower.process] = follower
    return newest


def find_progress(
    statuses: Sequence[ReplicaStatus], version: int
) -> RolloutProgress:
    """Return which processes have applied a version.

    Parameters
    ----------
    statuses
        Status of each replica that responded.
    version
        Version of the configuration.

    Returns
    -------
    RolloutProgress
        Covers all followers, and registered processes that no replica
        reaches at present; those count as behind.
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
    return RolloutProgress(sorted(reached), sorted(expected - reached))


async def _fetch_status(replica: Member) -> ReplicaStatus:
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
