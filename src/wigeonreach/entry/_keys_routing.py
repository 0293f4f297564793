"""Decide which entry handles the request of a key."""

from __future__ import annotations

import dataclasses
from typing import Final, TypeAlias

from wigeonreach.codes import Outcome, ResultCode
from wigeonreach.entry._keys import Key
from wigeonreach.entry._results import KeyResult
from wigeonreach.exceptions import RequestRefusedError

OWNER_RESTARTED: Final = KeyResult(
    Outcome.UNKNOWN,
    ResultCode.REQUEST_KEY_OWNER_RESTARTED,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Here:
    """This incarnation issued the key."""


@dataclasses.dataclass(frozen=True, slots=True)
class Forward:
    """Another entry issued the key and must handle its request."""

    owner: str


Place: TypeAlias = Here | Forward | KeyResult


def place_of(
    key: Key,
    service: str,
    entry: str,
    incarnation: str,
) -> Place:
    """Return where the request of a key must be handled.

    Parameters
    ----------
    key
        The decoded key.
    service
        Name of the requested service.
    entry, incarnation
        Name and incarnation of this process.

    Returns
    -------
    Here, Forward or KeyResult
        The place, or the result if the owning process no longer exists.

    Raises
    ------
    RequestRefusedError
        If the key was issued for another service.
    """
    if key.service != service:
        raise RequestRefusedError(
            ResultCode.REQUEST_KEY_MISMATCH,
            'the key was issued for another service',
        )
    if key.incarnation == incarnation:
        return Here()
    if key.owner == entry:
        return OWNER_RESTARTED
    return Forward(key.owner)
