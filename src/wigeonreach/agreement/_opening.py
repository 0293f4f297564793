"""Open the data folder of a replica."""

from __future__ import annotations

from wigeonreach.agreement._storage import Storage, StoredState
from wigeonreach.codes import ResultCode
from wigeonreach.exceptions import StateError
from wigeonreach.observe import LogEvent, Logger


def open_storage(
    storage: Storage,
    has_peers: bool,
    logger: Logger,
    may_found: bool = True,
) -> StoredState:
    """Load the stored state; reset a damaged folder if there are peers.

    Parameters
    ----------
    storage
        Storage in the folder.
    has_peers
        Whether other replicas can bring this one up to date.
    logger
        Where events are logged.
    may_found
        Whether a replica with an empty folder may take part in
        bootstrapping a cluster.

    Returns
    -------
    StoredState
        The stored state, or that of a new replica without a vote.

    Raises
    ------
    StateError
        If the disk fails, or the folder is damaged and there are no peers.
    """
    try:
        stored = storage.load(may_found)
    except OSError as error:
        raise StateError(
            ResultCode.STATE_DISK_FAILED,
            f'the data folder cannot be opened: {error}',
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
        return storage.move_damaged_files()
    if stored.torn_bytes:
        logger.warning(
            LogEvent.JOURNAL_TAIL_CUT,
            size_bytes=stored.torn_bytes,
        )
    return stored
