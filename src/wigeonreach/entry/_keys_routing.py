"""Decide which entry may have the request of a key run."""

from __future__ import annotations

import dataclasses
from typing import Final, TypeAlias

from wigeonreach.codes import Outcome, ResultCode
from wigeonreach.entry._keys import Key
from wigeonreach.entry._results import KeyResult
from wigeonreach.exceptions import RequestRefusedError

RESTARTED: Final = KeyResult(
    Outcome.UNKNOWN,
    ResultCode.REQUEST_KEY_OWNER_RESTARTED,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Here:
    """This incarnation issued the key."""


@dataclasses.dataclass(frozen=True, slots=True)
class Forward:
    """Another entry issued the key, and only it may decide."""

    owner: str


Place: TypeAlias = Here | Forward | KeyResult


def place_of(
    key: Key,
    service: str,
    entry: str,
    incarnation: str,
) -> Place:
    """Return where the request of a key is to be decided.

    Parameters
    ----------
    key
        The key, as it was read.
    service
        The service that is asked for.
    entry, incarnation
        Who this process is.

    Returns
    -------
    Here, Forward or KeyResult
        The place, or an end if no process is left that could decide.

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
        return RESTARTED
    return Forward(key.owner)
