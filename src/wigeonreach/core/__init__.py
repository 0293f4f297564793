"""Core processes: replicated state, scheduling by the leader, and calls."""

from wigeonreach.core._daemon import Core
from wigeonreach.core._null_platform import NullAdvisor, NullVmApi
from wigeonreach.core._settings import CoreSettings

__all__ = ('Core', 'CoreSettings', 'NullAdvisor', 'NullVmApi')
