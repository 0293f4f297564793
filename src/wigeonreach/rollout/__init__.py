"""Distribute configuration texts to every process, as deltas."""

from wigeonreach.rollout._delta import (
    LineEdit,
    apply_edits,
    checksum_of,
    find_edits,
    split_lines,
)
from wigeonreach.rollout._sections import (
    describe_changes,
    join_sections,
    split_sections,
)

__all__ = (
    'LineEdit',
    'apply_edits',
    'checksum_of',
    'describe_changes',
    'find_edits',
    'join_sections',
    'split_lines',
    'split_sections',
)
