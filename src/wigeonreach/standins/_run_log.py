"""Log of the requests that targets ran, for independent checks."""

from __future__ import annotations

import enum
import os
import pathlib
import time

import msgspec


class RunKind(enum.StrEnum):
    """Kind of a line in the run log."""

    START = 'start'
    END = 'end'
    LEAVING = 'leaving'


class RunLine(msgspec.Struct, frozen=True):
    """One line of a run log."""

    target_id: str
    process_id: int
    kind: RunKind
    work: str
    running: int
    at_s: float


class RunLog:
    """Append-only run log; it survives when the target is killed.

    Parameters
    ----------
    path
        The file, shared by all targets.
    target_id
        Target that writes the log.
    process_id
        Distinguishes one start of a target from the next.
    """

    def __init__(
        self,
        path: pathlib.Path,
        target_id: str,
        process_id: int,
    ) -> None:
        """Open the file for appending."""
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self._fd = os.open(path, flags, 0o600)
        self._target_id = target_id
        self._process_id = process_id

    def write(self, kind: RunKind, work: str, running: int) -> None:
        """Append one line in a single system call."""
        line = RunLine(
            self._target_id,
            self._process_id,
            kind,
            work,
            running,
            time.monotonic(),
        )
        os.write(self._fd, b'%b\n' % msgspec.json.encode(line))


def read_run_log(path: pathlib.Path) -> list[RunLine]:
    """Return all lines of a run log in the order written."""
    decoder = msgspec.json.Decoder(RunLine)
    return decoder.decode_lines(path.read_bytes())
