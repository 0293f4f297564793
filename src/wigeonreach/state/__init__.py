"""Keep the accepted text durably on a quorum of disks."""

from wigeonreach.state._client import StateAccess, StateClient
from wigeonreach.state._holding import Fence, Holding
from wigeonreach.state._ownership import next_step
from wigeonreach.state._replica import Replica
from wigeonreach.state._settings import ReplicaSettings

__all__ = (
    'Fence',
    'Holding',
    'Replica',
    'ReplicaSettings',
    'StateAccess',
    'StateClient',
    'next_step',
)
