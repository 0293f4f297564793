"""Build test data with sensible defaults."""

from __future__ import annotations

from typing import Any

import msgspec

from wigeonreach.wire._target_messages import TargetRecord, TargetState

SAMPLE_TEXT = """
[fleet]
name = "sample"

[services.records]
promised_slots = 4

[services.portal]
depends_on = ["records"]
"""

_RECORD = TargetRecord(
    target_id='records-0',
    service='records',
    zone='a',
    address='127.0.0.1:9000',
    incarnation_ns=1,
    sequence=1,
    state=TargetState.SERVING,
    slots=8,
    connections=64,
    lease_left_s=2.0,
)


def build_record(**changes: Any) -> TargetRecord:
    """Return a serving target's record with some fields changed."""
    return msgspec.structs.replace(_RECORD, **changes)
