"""Create the replica of a core process from its data folder."""

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
    """Load the durable state and create the replica.

    Parameters
    ----------
    settings
        Identity and configuration of the process.
    store
        The replicated state machine.
    disk
        The data folder.
    on_failed
        Called with an error after which the process must terminate.
    on_role
        Called after the role or the leader changed.
    logger
        Logs events.

    Returns
    -------
    RaftAgreement
        The replica, not started yet.

    Raises
    ------
    StateError
        If the disk can't be used, or is damaged and there is no peer.
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
    """Return the seeds, the first of which founds the cluster, and itself."""
    names = settings.seeds
    if settings.name not in names:
        names = (*names, settings.name)
    return tuple(
        Member(name, '', parse_address(name, 'seed')) for name in names
    )
