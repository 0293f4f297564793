"""Watch the versions that entries act on, as their callers see them."""

from __future__ import annotations

import dataclasses
import threading
import time
from collections.abc import Sequence
from http import client as http_client

from bench.cluster import Process

_HEADER = 'X-Config-Version'
_PERIOD_S = 0.05
_TIMEOUT_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Sighting:
    """The version that one answer told, and when its request was sent."""

    entry: str
    sent_s: float
    answered_s: float
    version: int
    status: int


class Watcher(threading.Thread):
    """Ask every entry again and again until told to stop.

    Parameters
    ----------
    entries
        Whom to ask.
    """

    def __init__(self, entries: Sequence[Process]) -> None:
        """Watch nothing yet."""
        super().__init__(daemon=True)
        self._entries = entries
        self._is_done = threading.Event()
        self.sightings: list[Sighting] = []

    def run(self) -> None:
        """Ask until told to stop."""
        while not self._is_done.wait(_PERIOD_S):
            for entry in self._entries:
                sighting = see(entry)
                if sighting is not None:
                    self.sightings.append(sighting)

    def finish(self) -> list[str]:
        """Stop and return every answer older than one seen before it.

        Returns
        -------
        list of str
            One line for each; empty if versions only grew.
        """
        self._is_done.set()
        self.join()
        faults: list[str] = []
        newest: dict[str, int] = {}
        for seen in self.sightings:
            if seen.version < newest.get(seen.entry, 0):
                faults.append(
                    f'{seen.entry}: {seen.version} after {newest[seen.entry]}',
                )
            newest[seen.entry] = max(seen.version, newest.get(seen.entry, 0))
        return faults


def see(entry: Process, known: int = 0) -> Sighting | None:
    """Ask an entry once, as a caller that has seen a version.

    Parameters
    ----------
    entry
        Whom to ask.
    known
        Version that the caller has seen; 0 for none.

    Returns
    -------
    Sighting or None
        None if the entry gave no answer or told no version.
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
    return Sighting(
        entry.name,
        sent_s,
        time.monotonic(),
        int(version),
        answer.status,
    )


def _headers(known: int) -> dict[str, str]:
    return {_HEADER: str(known)} if known else {}
