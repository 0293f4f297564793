"""Build the deltas and sections that update followers."""

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

_MAX_CACHED_DELTAS = 256


class TextFeed:
    """The newest text of a replica, and deltas to it from older versions.

    Many followers hold the same version, so each delta is computed once and
    cached.
    """

    def __init__(self) -> None:
        """Start with version 0, the empty text."""
        self._newest = make_copy(0, '')
        self._deltas: dict[tuple[int, int], ConfigDelta | None] = {}

    def newest(self, state: MachineState) -> TextCopy:
        """Return the newest version that this replica has applied."""
        accepted = state.accepted
        if accepted.version != self._newest.version:
            self._newest = make_copy(accepted.version, accepted.text)
            self._deltas.clear()
        return self._newest

    def delta_from(
        self,
        state: MachineState,
        version: int,
        checksum: int,
    ) -> ConfigDelta | None:
        """Return the delta from a version to the newest one.

        Parameters
        ----------
        state
            The state that holds the texts.
        version, checksum
            The version that the follower holds, and the checksum of its text.

        Returns
        -------
        ConfigDelta or None
            None if that version is no longer remembered, if its text has
            another checksum, or for version 0: a follower without a text
            gets the whole text, compressed, instead of a delta.
        """
        if version == 0:
            return None
        newest = self.newest(state)
        key = (version, checksum)
        if key not in self._deltas:
            if len(self._deltas) >= _MAX_CACHED_DELTAS:
                self._deltas.clear()
            self._deltas[key] = _make_delta(state, newest, version, checksum)
        return self._deltas[key]

    def missing_sections(
        self,
        state: MachineState,
        need: ConfigNeed,
    ) -> ConfigSections:
        """Return the sections that a follower lacks."""
        return missing_sections(self.newest(state), need)


def _make_delta(
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
