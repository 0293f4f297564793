"""Raft consensus: a replicated log of commands, stored on a quorum of disks."""

from wigeonreach.agreement._agreement import RaftAgreement
from wigeonreach.agreement._disk import FolderDisk
from wigeonreach.agreement._disk_space import DiskSpace, SpaceWatch
from wigeonreach.agreement._opening import open_storage
from wigeonreach.agreement._raft_types import RaftSettings
from wigeonreach.agreement._settings import ReplicaSettings
from wigeonreach.agreement._state_machine import Agreement, StateMachine
from wigeonreach.agreement._storage import Storage

__all__ = (
    'Agreement',
    'DiskSpace',
    'FolderDisk',
    'RaftAgreement',
    'RaftSettings',
    'ReplicaSettings',
    'SpaceWatch',
    'StateMachine',
    'Storage',
    'open_storage',
)
