"""Choose what brings a follower to the newest version."""

from __future__ import annotations

from wigeonreach.rollout import checksum_of, find_edits, split_lines
from wigeonreach.rollout._copy import TextCopy, make_copy, missing_sections
from wigeonreach.state._machine_state import MachineState
from wigeonreach.state._machine_texts import text_of
from wigeonreach.wire._rollout_messages import (
    ConfigDelta,
    ConfigNeed,
    ConfigSections,
)

_MAX_CACHED = 256


class Feed:
    """The newest text of a replica and the ways to it from older ones.

    Many followers hold the same version, so each way is worked out once.
    """

    def __init__(self) -> None:
        """Start before the first version."""
        self._newest = make_copy(0, '')
        self._steps: dict[tuple[int, int], ConfigDelta | None] = {}

    def newest(self, state: MachineState) -> TextCopy:
        """Return the newest copy that this replica has applied."""
        accepted = state.accepted
        if accepted.version != self._newest.version:
            self._newest = make_copy(accepted.version, accepted.text)
            self._steps.clear()
        return self._newest

    def step(
        self,
        state: MachineState,
        version: int,
        checksum: int,
    ) -> ConfigDelta | None:
        """Return the step from a version to the newest one.

        Parameters
        ----------
        state
            The state that holds the texts.
        version, checksum
            What the follower holds.

        Returns
        -------
        ConfigDelta or None
            None if that version is forgotten or was another text, and for
            version 0: the whole text goes out compressed, not as a delta.
        """
        if version == 0:
            return None
        newest = self.newest(state)
        key = (version, checksum)
        if key not in self._steps:
            if len(self._steps) >= _MAX_CACHED:
                self._steps.clear()
            self._steps[key] = _find_step(state, newest, version, checksum)
        return self._steps[key]

    def missing(
        self,
        state: MachineState,
        need: ConfigNeed,
    ) -> ConfigSections:
        """Return the sections that a follower lacks."""
        return missing_sections(self.newest(state), need)


def _find_step(
    state: MachineState,
    newest: TextCopy,
    version: int,
    checksum: int,
) -> ConfigDelta | None:
    old = text_of(state.accepted, version)
    if old is None or checksum_of(old) != checksum:
        return None
    return ConfigDelta(
        version,
        newest.version,
        newest.checksum,
        find_edits(split_lines(old), split_lines(newest.text)),
    )
