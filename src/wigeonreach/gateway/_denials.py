"""Cache of the leader's denials of credentials.

Callers with an unknown credential may retry endlessly, and the leader would need
a quorum round to confirm its leadership for each of their calls.
"""

from __future__ import annotations

import collections

from wigeonreach.wire._call_messages import (
    AnyCall,
    CancelJobCall,
    ReadJob,
    SubmitJob,
)
from wigeonreach.wire._call_replies import AnyReply, Unauthorized
from wigeonreach.workspaces import Credential

# Far more entries than there are callers with a wrong key at any time.
_MAX_ENTRIES = 4096

# The credential, the host and the path without the job ID.
_CallerKey = tuple[Credential, str, str]


class DenialCache:
    """Denials by caller, for one version of the manifest."""

    def __init__(self) -> None:
        """Start with an empty cache."""
        self._version = 0
        self._denials: collections.OrderedDict[_CallerKey, Unauthorized] = (
            collections.OrderedDict()
        )

    def add(self, call: AnyCall, reply: AnyReply) -> None:
        """Store the leader's reply to a call if it is a denial."""
        key = _caller_key(call)
        if key is None or not isinstance(reply, Unauthorized):
            return
        if reply.version > self._version:
            self._denials.clear()
            self._version = reply.version
        if reply.version == self._version:
            self._denials[key] = reply
            if len(self._denials) > _MAX_ENTRIES:
                self._denials.popitem(last=False)

    def find(self, call: AnyCall, version: int) -> Unauthorized | None:
        """Return the denial cached for a call and this version, or None."""
        key = _caller_key(call)
        if key is None or version != self._version:
            return None
        return self._denials.get(key)


def _caller_key(call: AnyCall) -> _CallerKey | None:
    if isinstance(call, (CancelJobCall, ReadJob, SubmitJob)):
        return call.credential, call.host, call.path.rpartition('/')[0]
    return None
