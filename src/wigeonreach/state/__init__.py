"""Replicated state: configuration texts, waves, VM ownership and leases."""

from wigeonreach.agreement import ReplicaSettings
from wigeonreach.state._client import StateAccess, StateClient
from wigeonreach.state._holding import Fence, Holding
from wigeonreach.state._ownership import next_step
from wigeonreach.state._replica import Replica

__all__ = (
    'Fence',
    'Holding',
    'Replica',
    'ReplicaSettings',
    'StateAccess',
    'StateClient',
    'next_step',
)
