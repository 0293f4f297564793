"""Send a stream of changes to the replicas and record acknowledgements."""

from __future__ import annotations

import asyncio
import threading
import time
from collections.abc import Sequence

from bench.cluster import Process
from wigeonreach.exceptions import StateError
from wigeonreach.state._client import StateClient
from wigeonreach.wire import Member
from wigeonreach.wire._command_messages import RegisterProcess
from wigeonreach.wire._state_messages import Processes, ReadProcesses

_GIVE_UP_S = 20.0


class ChangeStream:
    """Writers that each submit one change after another, in a thread.

    Parameters
    ----------
    replicas
        Replicas to write to; each writer starts with a different one.
    writers
        Number of writers.
    pause_s
        How long a writer waits between two changes, in seconds.
    """

    def __init__(
        self,
        replicas: Sequence[Process],
        writers: int = 4,
        pause_s: float = 0.01,
    ) -> None:
        """Create the writers without starting them."""
        self._members = members_of(replicas)
        self._writers = writers
        self._pause_s = pause_s
        self._is_stopping = False
        self._thread = threading.Thread(target=self._run)
        self.acknowledged: dict[str, float] = {}
        self.unknown: set[str] = set()

    def start(self) -> None:
        """Begin to write."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the writers after their pending changes."""
        self._is_stopping = True
        self._thread.join()

    def longest_gap_s(self) -> float:
        """Return the longest time without any acknowledgement."""
        times_s = sorted(self.acknowledged.values())
        gaps_s = [
            later - earlier
            for earlier, later in zip(times_s, times_s[1:], strict=False)
        ]
        return max(gaps_s, default=0.0)

    def wait_for_more(self, count: int, timeout_s: float = 20.0) -> None:
        """Wait until more changes are acknowledged."""
        wanted = len(self.acknowledged) + count
        ends_s = time.monotonic() + timeout_s
        while len(self.acknowledged) < wanted:
            if time.monotonic() > ends_s:
                raise TimeoutError(f'{len(self.acknowledged)} of {wanted}')
            time.sleep(0.02)

    def missing(self) -> set[str]:
        """Return the acknowledged changes that a quorum does not have."""
        stored = asyncio.run(read_stored(self._members))
        return set(self.acknowledged) - stored

    def _run(self) -> None:
        asyncio.run(self._write_all())

    async def _write_all(self) -> None:
        await asyncio.gather(*map(self._write, range(self._writers)))

    async def _write(self, writer: int) -> None:
        first = writer % len(self._members)
        order = (*self._members[first:], *self._members[:first])
        client = StateClient(f'writer-{writer}', order, give_up_s=_GIVE_UP_S)
        number = 0
        while not self._is_stopping:
            number += 1
            name = f'change-{writer}-{number}'
            try:
                await client.submit(RegisterProcess(name, 'zone'))
            except StateError:
                self.unknown.add(name)
            else:
                self.acknowledged[name] = time.monotonic()
            await asyncio.sleep(self._pause_s)


async def read_stored(members: Sequence[Member]) -> set[str]:
    """Return the names of the stored changes, confirmed by a quorum."""
    client = StateClient('reader', members, give_up_s=_GIVE_UP_S)
    found = await client.read(ReadProcesses(), Processes)
    return {record.process for record in found.processes}


def members_of(replicas: Sequence[Process]) -> tuple[Member, ...]:
    """Return the members of some replicas."""
    return tuple(replica.member for replica in replicas)
