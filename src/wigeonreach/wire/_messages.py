"""Gather every message type into the union that a channel decodes."""

from __future__ import annotations

from typing import TypeAlias

from wigeonreach.wire._config_messages import (
    ApplyReply,
    ApplyText,
    ConfigAck,
    ConfigUpdate,
    ReadReply,
    ReadText,
    StatusReply,
    StatusRequest,
    Subscribe,
)
from wigeonreach.wire._peer_messages import Goodbye, Heartbeat, PeerHello
from wigeonreach.wire._replica_messages import Append, AppendReply
from wigeonreach.wire._state_messages import Answered, Ask, Submit, Submitted
from wigeonreach.wire._target_messages import TargetRecord, Targets

Message: TypeAlias = (
    Answered
    | Append
    | AppendReply
    | ApplyReply
    | ApplyText
    | Ask
    | ConfigAck
    | ConfigUpdate
    | Goodbye
    | Heartbeat
    | PeerHello
    | ReadReply
    | ReadText
    | StatusReply
    | StatusRequest
    | Submit
    | Submitted
    | Subscribe
    | TargetRecord
    | Targets
)
