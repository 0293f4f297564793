"""Digests of API keys."""

from __future__ import annotations

import hashlib
from typing import TypeAlias

# The digest of an API key.  Keys are long and random, so a digest can't be
# reversed, and the time to compare digests reveals nothing about a key.
Credential: TypeAlias = bytes
NO_CREDENTIAL: Credential = b''


def credential_digest(api_key: str) -> Credential:
    """Return the digest that replaces an API key inside the system."""
    return hashlib.sha256(api_key.encode(errors='replace')).digest()
