"""Keep the state, decide and answer: the processes at the core."""

from wigeonreach.core._alone import NoAdvisor, UnmanagedVms
from wigeonreach.core._daemon import Core
from wigeonreach.core._settings import CoreSettings

__all__ = ('Core', 'CoreSettings', 'NoAdvisor', 'UnmanagedVms')
