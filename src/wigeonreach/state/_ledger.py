"""Decide which changes are accepted."""

from __future__ import annotations

import dataclasses

import msgspec

from wigeonreach.codes import ResultCode
from wigeonreach.exceptions import FleetTextError
from wigeonreach.text import parse_fleet_text
from wigeonreach.wire._config_messages import ApplyReply, ApplyText

_CHANGE = msgspec.msgpack.Decoder(ApplyText)
_CHANGES = msgspec.msgpack.Decoder(list[ApplyText])


@dataclasses.dataclass(slots=True)
class Ledger:
    """All stored changes; the version of a change is its place in them."""

    changes: list[ApplyText]
    committed_version: int = 0

    def apply(self, index: int, command: bytes) -> bytes:
        """Accept or refuse an encoded ``ApplyText``; reply ``ApplyReply``."""
        change = _CHANGE.decode(command)
        reply = self.review(change)
        if reply is None:
            self.changes.append(change)
            self.committed_version = len(self.changes)
            reply = ApplyReply(ResultCode.OK, '', self.committed_version)
        return msgspec.msgpack.encode(reply)

    def snapshot(self) -> bytes:
        """Return all changes."""
        return msgspec.msgpack.encode(self.changes)

    def restore(self, snapshot: bytes) -> None:
        """Replace all changes."""
        self.changes = _CHANGES.decode(snapshot)
        self.committed_version = len(self.changes)

    @property
    def stored_version(self) -> int:
        """Version of the last stored change."""
        return len(self.changes)

    def committed_text(self) -> str:
        """Return the newest accepted text, or an empty one."""
        if not self.committed_version:
            return ''
        return self.changes[self.committed_version - 1].text

    def commit(self, version: int) -> bool:
        """Raise the accepted version; tell whether it rose."""
        reachable = min(version, self.stored_version)
        if reachable <= self.committed_version:
            return False
        self.committed_version = reachable
        return True

    def review(self, change: ApplyText) -> ApplyReply | None:
        """Return the reply that a change has already, if it has one.

        Parameters
        ----------
        change
            What an operator asks for.

        Returns
        -------
        ApplyReply or None
            The first reply to a resent change, or a refusal; None if the
            change is to be stored.
        """
        for version, stored in enumerate(self.changes, start=1):
            if stored.change_id == change.change_id:
                return ApplyReply(ResultCode.OK, '', version)
        if change.base_version != self.stored_version:
            return ApplyReply(
                ResultCode.STATE_CONFLICT,
                f'based on {change.base_version}, now {self.stored_version}',
                self.stored_version,
            )
        try:
            parse_fleet_text(change.text)
        except FleetTextError as error:
            return ApplyReply(error.code, error.detail, self.stored_version)
        return None
