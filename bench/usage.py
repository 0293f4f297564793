"""Read what a process has used of processor and memory."""

from __future__ import annotations

import dataclasses
import os
import pathlib

_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
_USER_TICKS_FIELD = 11
_SYSTEM_TICKS_FIELD = 12
_RESIDENT_FIELD = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Processor time used so far and memory resident now."""

    processor_s: float
    memory_bytes: int

    def since(self, before: Usage) -> Usage:
        """Return the processor time used since, with the present memory."""
        return Usage(self.processor_s - before.processor_s, self.memory_bytes)


def read_usage(pid: int) -> Usage:
    """Return the usage of one process.

    Parameters
    ----------
    pid
        Its process id.

    Returns
    -------
    Usage
        Processor seconds and resident bytes.

    Raises
    ------
    OSError
        If there is no such process.
    """
    folder = pathlib.Path(f'/proc/{pid}')
    # Fields are counted behind the name, which may contain spaces.
    fields = (folder / 'stat').read_text().rpartition(')')[2].split()
    ticks = int(fields[_USER_TICKS_FIELD]) + int(fields[_SYSTEM_TICKS_FIELD])
    resident = (folder / 'statm').read_text().split()[_RESIDENT_FIELD]
    return Usage(ticks / _TICKS_PER_S, int(resident) * _PAGE_BYTES)
