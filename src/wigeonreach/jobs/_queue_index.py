"""Find queues and services of a manifest without looking at all of them."""

from __future__ import annotations

from wigeonreach.jobs._model import Manifest, QueueSpec


class QueueIndex:
    """The queues of one manifest, by name and by where callers reach them.

    A manifest may hold thousands of queues, and each call, each order of a
    start and each job that is looked at asks for one of them.

    Parameters
    ----------
    manifest
        Whose queues these are.
    """

    def __init__(self, manifest: Manifest) -> None:
        """Sort the queues."""
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
        """Return a queue by name."""
        return self._by_name.get(name)

    def at(self, host: str, path: str) -> QueueSpec | None:
        """Return the queue whose prefix is the longest that a path has."""
        by_prefix = self._by_host.get(host, {})
        for length in self._lengths.get(host, ()):
            queue = by_prefix.get(path[:length])
            if queue is not None:
                return queue
        return None
