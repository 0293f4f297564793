"""Share the workers between workspaces, each within its cap."""

from wigeonreach.scheduling.sharing._cap_plan import CapPlan
from wigeonreach.scheduling.sharing._cap_watch import CapTracker

__all__ = ('CapPlan', 'CapTracker')
