"""Turn API keys into what may be stored, compared and passed on."""

from __future__ import annotations

import hashlib
from typing import TypeAlias

# The digest of an API key.  Keys are long and random, so a digest can't be turned
# back, and comparing digests tells nothing of a key by the time that it takes.
Credential: TypeAlias = bytes
NO_CREDENTIAL: Credential = b''


def credential_of(api_key: str) -> Credential:
    """Return what stands for an API key everywhere but at the border."""
    return hashlib.sha256(api_key.encode(errors='replace')).digest()
