"""Refuse again what the leader has just refused, without asking it.

Answers strangers that call over and over: each of their calls would cost the leader a
round that proves its lead.
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

# Far more than there are callers with a wrong key at a time.
_MOST_KEPT = 4096

# Who called, and where: the host and what stands before a job's id.
_Caller = tuple[Credential, str, str]


class Denials:
    """Refusals by credential, under one version of the manifest."""

    def __init__(self) -> None:
        """Know no refusal."""
        self._version = 0
        self._kept: collections.OrderedDict[_Caller, Unauthorized] = (
            collections.OrderedDict()
        )

    def note(self, call: AnyCall, reply: AnyReply) -> None:
        """Keep a refusal that the leader gave."""
        caller = _caller_of(call)
        if caller is None or not isinstance(reply, Unauthorized):
            return
        if reply.version > self._version:
            self._kept.clear()
            self._version = reply.version
        if reply.version == self._version:
            self._kept[caller] = reply
            if len(self._kept) > _MOST_KEPT:
                self._kept.popitem(last=False)

    def find(self, call: AnyCall, version: int) -> Unauthorized | None:
        """Return the refusal of a call, if it holds under a version."""
        caller = _caller_of(call)
        if caller is None or version != self._version:
            return None
        return self._kept.get(caller)


def _caller_of(call: AnyCall) -> _Caller | None:
    if isinstance(call, (CancelJobCall, ReadJob, SubmitJob)):
        return call.credential, call.host, call.path.rpartition('/')[0]
    return None
