"""Index of the queues of a manifest."""

from __future__ import annotations

from wigeonreach.jobs._model import Manifest, QueueSpec


class QueueIndex:
    """The queues of one manifest, by name and by host and path prefix.

    A manifest may hold thousands of queues, and a queue is looked up for each
    call, each start of a run and each job that is examined.

    Parameters
    ----------
    manifest
        The manifest to index.
    """

    def __init__(self, manifest: Manifest) -> None:
        """Build the index."""
        self._by_name = {queue.name: queue for queue in manifest.queues}
        self._by_host: dict[str, dict[str, QueueSpec]] = {}
        self._lengths: dict[str, list[int]] = {}
        for queue in manifest.queues:
            by_prefix = self._by_host.setdefault(queue.host, {})
            by_prefix[queue.path_prefix] = queue
        for host, found in self._by_host.items():
            lengths = {len(prefix) for prefix in found}
            self._lengths[host] = sorted(lengths, reverse=True)

    def named(self, name: str) -> QueueSpec | None:
        """Return the queue of this name."""
        return self._by_name.get(name)

    def at(self, host: str, path: str) -> QueueSpec | None:
        """Return the queue with the longest prefix that matches a path."""
        by_prefix = self._by_host.get(host, {})
        for length in self._lengths.get(host, ()):
            queue = by_prefix.get(path[:length])
            if queue is not None:
                return queue
        return None
