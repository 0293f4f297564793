"""Talk to the platform that owns VMs, workers and their tasks."""

from wigeonreach.platform._client import PlatformClient
from wigeonreach.platform._interface import Platform
from wigeonreach.platform._model import (
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
