"""Open a replica's data folder."""

from __future__ import annotations

from wigeonreach.agreement._storage import Storage, Stored
from wigeonreach.codes import ResultCode
from wigeonreach.exceptions import StateError
from wigeonreach.observe import LogEvent, Logger


def open_storage(
    storage: Storage,
    has_peers: bool,
    logger: Logger,
    may_found: bool = True,
) -> Stored:
    """Load what is stored; set damaged files aside if peers have it all.

    Parameters
    ----------
    storage
        The folder.
    has_peers
        Whether other replicas can bring this one up to date.
    logger
        Where events are logged.
    may_found
        Whether an empty folder may belong to a system that never ran.

    Returns
    -------
    Stored
        What is stored, or a new disk without a vote.

    Raises
    ------
    StateError
        If the disk refuses, or the folder is damaged and there is no peer.
    """
    try:
        stored = storage.load(may_found)
    except OSError as error:
        raise StateError(
            ResultCode.STATE_DISK_FAILED,
            f'the data folder can not be opened: {error}',
        ) from error
    except StateError as error:
        if error.code is not ResultCode.STATE_DAMAGED:
            raise
        logger.warning(
            LogEvent.DATA_DAMAGED,
            reason=error.detail,
            action='check this disk; see docs/RUNNING-STATE.md',
        )
        if not has_peers:
            raise
        return storage.set_aside()
    if stored.torn_bytes:
        logger.warning(
            LogEvent.JOURNAL_TAIL_CUT,
            size_bytes=stored.torn_bytes,
        )
    return stored
