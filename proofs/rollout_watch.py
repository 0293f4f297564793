"""Poll the configuration version that entries report to their callers."""

from __future__ import annotations

import dataclasses
import threading
import time
from collections.abc import Sequence
from http import client as http_client

from bench.cluster import Process

_HEADER = 'X-Config-Version'
_POLL_S = 0.05
_TIMEOUT_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """The version in one response, with the times of request and response."""

    entry: str
    sent_s: float
    answered_s: float
    version: int
    status: int


class VersionWatcher(threading.Thread):
    """Poll all entries in a thread until stopped.

    Parameters
    ----------
    entries
        Entries to poll.
    """

    def __init__(self, entries: Sequence[Process]) -> None:
        """Create the thread without starting it."""
        super().__init__(daemon=True)
        self._entries = entries
        self._is_done = threading.Event()
        self.observations: list[Observation] = []

    def run(self) -> None:
        """Poll until stopped."""
        while not self._is_done.wait(_POLL_S):
            for entry in self._entries:
                observation = read_version(entry)
                if observation is not None:
                    self.observations.append(observation)

    def finish(self) -> list[str]:
        """Stop polling and report entries whose version decreased.

        Returns
        -------
        list of str
            One line for each response with an older version than an earlier
            response of the same entry; empty if no version decreased.
        """
        self._is_done.set()
        self.join()
        faults: list[str] = []
        newest: dict[str, int] = {}
        for seen in self.observations:
            if seen.version < newest.get(seen.entry, 0):
                faults.append(
                    f'{seen.entry}: {seen.version} after {newest[seen.entry]}',
                )
            newest[seen.entry] = max(seen.version, newest.get(seen.entry, 0))
        return faults


def read_version(entry: Process, known: int = 0) -> Observation | None:
    """Send one request to an entry and return the version it reports.

    Parameters
    ----------
    entry
        Entry to ask.
    known
        Version that the caller already knows, sent along; 0 for none.

    Returns
    -------
    Observation or None
        None if the entry gave no response or reported no version.
    """
    host, _, port = entry.http.rpartition(':')
    connection = http_client.HTTPConnection(host, int(port), _TIMEOUT_S)
    sent_s = time.monotonic()
    try:
        connection.request('GET', '/s/records/x', headers=_headers(known))
        answer = connection.getresponse()
        answer.read()
    except (OSError, http_client.HTTPException):
        return None
    finally:
        connection.close()
    version = answer.getheader(_HEADER)
    if version is None:
        return None
    return Observation(
        entry.name,
        sent_s,
        time.monotonic(),
        int(version),
        answer.status,
    )


def _headers(known: int) -> dict[str, str]:
    return {_HEADER: str(known)} if known else {}
