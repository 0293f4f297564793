"""HTTP entry point that forwards callers' requests to targets."""

from wigeonreach.entry._daemon import Entry
from wigeonreach.entry._settings import EntrySettings

__all__ = ('Entry', 'EntrySettings')
