"""Define the union of all message types that a channel decodes."""

from __future__ import annotations

from typing import TypeAlias

from wigeonreach.wire._call_messages import (
    CallMessage,
)
from wigeonreach.wire._credit_messages import CreditMessage
from wigeonreach.wire._keys_messages import ForwardReply, ForwardRequest
from wigeonreach.wire._peer_messages import Goodbye, Heartbeat, PeerHello
from wigeonreach.wire._raft_messages import AnyRaftMessage
from wigeonreach.wire._rollout_messages import RolloutMessage
from wigeonreach.wire._state_messages import StateMessage
from wigeonreach.wire._target_messages import Renewals, TargetRecord, Targets

Message: TypeAlias = (
    AnyRaftMessage
    | CallMessage
    | CreditMessage
    | ForwardReply
    | ForwardRequest
    | Goodbye
    | Heartbeat
    | PeerHello
    | Renewals
    | RolloutMessage
    | StateMessage
    | TargetRecord
    | Targets
)
