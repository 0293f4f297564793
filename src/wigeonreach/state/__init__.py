"""Keep the accepted text durably on a quorum of disks."""

from wigeonreach.state._client import StateAccess, StateClient
from wigeonreach.state._replica import Replica
from wigeonreach.state._settings import ReplicaSettings

__all__ = ('Replica', 'ReplicaSettings', 'StateAccess', 'StateClient')
