"""Core processes: replicated state, scheduling by the leader, and calls."""

from wigeonreach.core._null_platform import NoAdvisor, UnmanagedVms
from wigeonreach.core._daemon import Core
from wigeonreach.core._settings import CoreSettings

__all__ = ('Core', 'CoreSettings', 'NoAdvisor', 'UnmanagedVms')
