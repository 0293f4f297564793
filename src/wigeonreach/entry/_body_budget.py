"""Bound how many bytes of callers' bodies are kept at once."""

from __future__ import annotations


class BodyBudget:
    """Bytes reserved before a body is read, given back with the answer.

    Parameters
    ----------
    max_bytes
        How much may be reserved at once.
    """

    def __init__(self, max_bytes: int) -> None:
        """Start with nothing reserved."""
        self._free_bytes = max_bytes

    def take(self, size_bytes: int) -> bool:
        """Reserve room for one body.

        Parameters
        ----------
        size_bytes
            Largest size that the body can have.

        Returns
        -------
        bool
            Whether there was room; if not, nothing is reserved.
        """
        if size_bytes > self._free_bytes:
            return False
        self._free_bytes -= size_bytes
        return True

    def give_back(self, size_bytes: int) -> None:
        """End a reservation of the same size."""
        self._free_bytes += size_bytes
