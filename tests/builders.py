"""Builders of test data with sensible defaults."""

from __future__ import annotations

import zlib
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

_FIRST_PORT = 9000
_PORTS = 50_000

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
    lease_s=2.0,
)


def build_record(**changes: Any) -> TargetRecord:
    """Return the record of a serving target with some fields changed.

    Each ``target_id`` gets its own port unless an address is given.
    """
    target_id = changes.get('target_id', _RECORD.target_id)
    port = _FIRST_PORT + zlib.crc32(target_id.encode()) % _PORTS
    changes.setdefault('address', f'127.0.0.1:{port}')
    return msgspec.structs.replace(_RECORD, **changes)
