"""Validate announcements that targets send over HTTP."""

from __future__ import annotations

from typing import Annotated

import pydantic

from wigeonreach.codes import ResultCode
from wigeonreach.exceptions import RequestRefusedError
from wigeonreach.wire._target_messages import TargetRecord, TargetState

_MAX_LEASE_S = 720
Name = Annotated[str, pydantic.StringConstraints(min_length=1, max_length=128)]


class AnnouncementSchema(pydantic.BaseModel):
    """Body of ``POST /v1/targets``."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

    target_id: Name
    service: Name
    address: Annotated[
        str,
        pydantic.StringConstraints(pattern=r'^[0-9.]+:\d{1,5}$'),
    ]
    incarnation_ns: Annotated[int, pydantic.Field(ge=0)]
    sequence: Annotated[int, pydantic.Field(ge=0)]
    state: TargetState = TargetState.SERVING
    slots: Annotated[int, pydantic.Field(ge=1, le=1024)] = 8
    connections: Annotated[int, pydantic.Field(ge=1, le=4096)] = 64
    lease_s: Annotated[float, pydantic.Field(gt=0, le=_MAX_LEASE_S)] = 2.0
    state_path: Annotated[
        str,
        pydantic.StringConstraints(
            pattern=r'^(/[\x21-\x7e]*)?$', max_length=256
        ),
    ] = ''


def read_announcement(body: bytes, zone: str) -> TargetRecord:
    """Validate an announcement and return it as a record.

    Parameters
    ----------
    body
        JSON body that the target sent.
    zone
        Zone of the entry that received the announcement.

    Returns
    -------
    TargetRecord
        The record to merge and to relay.

    Raises
    ------
    RequestRefusedError
        If the announcement is malformed.
    """
    try:
        schema = AnnouncementSchema.model_validate_json(body)
    except pydantic.ValidationError as error:
        first = error.errors(include_url=False)[0]
        key = '.'.join(str(part) for part in first['loc'])
        raise RequestRefusedError(
            ResultCode.ANNOUNCE_INVALID,
            f'{key}: {first["msg"]}',
        ) from None
    return TargetRecord(
        target_id=schema.target_id,
        service=schema.service,
        zone=zone,
        address=schema.address,
        incarnation_ns=schema.incarnation_ns,
        sequence=schema.sequence,
        state=schema.state,
        slots=schema.slots,
        connections=schema.connections,
        lease_s=schema.lease_s,
        state_path=schema.state_path,
    )
