"""Open the durable state of a core process."""

from __future__ import annotations

from collections.abc import Callable

from wigeonreach.agreement import (
    FolderDisk,
    RaftAgreement,
    RaftSettings,
    ReplicaSettings,
    Storage,
    open_storage,
)
from wigeonreach.core._settings import CoreSettings
from wigeonreach.jobs import JobStore
from wigeonreach.observe import Logger
from wigeonreach.wire import Member, parse_address


def open_agreement(
    settings: CoreSettings,
    store: JobStore,
    disk: FolderDisk,
    on_failed: Callable[[Exception], None],
    on_role: Callable[[], None],
    logger: Logger,
) -> RaftAgreement:
    """Load what the disk holds and prepare to agree with the others.

    Parameters
    ----------
    settings
        Who the process is.
    store
        What is replicated.
    disk
        Its data folder.
    on_failed
        Called with an error after which the process must not go on.
    on_role
        Called after the role or the leader changed.
    logger
        Where events are logged.

    Returns
    -------
    RaftAgreement
        Not started yet.

    Raises
    ------
    StateError
        If the disk refuses, or is damaged and there is no peer.
    """
    storage = Storage(disk)
    stored = open_storage(
        storage,
        len(settings.seeds) > 1,
        logger,
        may_found=settings.is_first_start,
    )
    replica = ReplicaSettings(
        name=settings.name,
        zone=settings.zone,
        listen=settings.listen,
        members=_members(settings),
        data_folder=settings.data_folder,
    )
    times = RaftSettings(voter_target=settings.voter_target)
    return RaftAgreement(
        replica,
        store,
        storage,
        stored,
        on_failed,
        logger,
        times,
        on_role,
    )


def _members(settings: CoreSettings) -> tuple[Member, ...]:
    """Return the seeds in their order, the first of which founds."""
    names = settings.seeds
    if settings.name not in names:
        names = (*names, settings.name)
    return tuple(
        Member(name, '', parse_address(name, 'seed')) for name in names
    )
