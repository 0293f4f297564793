"""Limit the memory used by the bodies of callers' requests."""

from __future__ import annotations


class BodyBudget:
    """Bytes reserved before a body is read and released after the response.

    Parameters
    ----------
    max_bytes
        How many bytes may be reserved at once.
    """

    def __init__(self, max_bytes: int) -> None:
        """Start with nothing reserved."""
        self._available_bytes = max_bytes

    def try_reserve(self, size_bytes: int) -> bool:
        """Reserve memory for one body.

        Parameters
        ----------
        size_bytes
            Largest possible size of the body.

        Returns
        -------
        bool
            Whether enough bytes were available; if not, none are reserved.
        """
        if size_bytes > self._available_bytes:
            return False
        self._available_bytes -= size_bytes
        return True

    def release(self, size_bytes: int) -> None:
        """Release a reservation of the same size."""
        self._available_bytes += size_bytes
