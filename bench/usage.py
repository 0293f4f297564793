"""Read the CPU time and memory of a process."""

from __future__ import annotations

import dataclasses
import os
import pathlib

_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
_USER_TICKS_FIELD = 11
_SYSTEM_TICKS_FIELD = 12
_RESIDENT_FIELD = 1
_NS_PER_S = 1_000_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """CPU time used so far and current resident memory."""

    processor_s: float
    memory_bytes: int

    def since(self, before: Usage) -> Usage:
        """Return the CPU time used since ``before`` and the current memory."""
        return Usage(self.processor_s - before.processor_s, self.memory_bytes)


def read_usage(pid: int) -> Usage:
    """Return the usage of one process.

    Parameters
    ----------
    pid
        Process ID.

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
    resident = (folder / 'statm').read_text().split()[_RESIDENT_FIELD]
    return Usage(_processor_s(folder), int(resident) * _PAGE_BYTES)


def _processor_s(folder: pathlib.Path) -> float:
    run_ns = [_run_ns(stat) for stat in folder.glob('task/*/schedstat')]
    if run_ns:
        return sum(run_ns) / _NS_PER_S
    # Kernels without these files report only whole ticks.  Fields are counted
    # after the process name, which may contain spaces.
    fields = (folder / 'stat').read_text().rpartition(')')[2].split()
    ticks = int(fields[_USER_TICKS_FIELD]) + int(fields[_SYSTEM_TICKS_FIELD])
    return ticks / _TICKS_PER_S


def _run_ns(stat: pathlib.Path) -> int:
    try:
        return int(stat.read_text().split()[0])
    except OSError:
        # The thread ended just now.
        return 0
