"""Client of the platform that owns VMs, workers and their tasks."""

from wigeonreach.provider._client import PlatformClient
from wigeonreach.provider._interface import Platform
from wigeonreach.provider._model import (
    Action,
    ActionKind,
    TaskAction,
    TaskView,
    VmAction,
    VmPage,
    VmPhase,
    VmView,
)

__all__ = (
    'Action',
    'ActionKind',
    'Platform',
    'PlatformClient',
    'TaskAction',
    'TaskView',
    'VmAction',
    'VmPage',
    'VmPhase',
    'VmView',
)
