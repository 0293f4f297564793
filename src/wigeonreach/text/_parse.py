"""Parse a TOML configuration text into checked data, or reject it."""

from __future__ import annotations

import re
import tomllib
from types import MappingProxyType

import pydantic

from wigeonreach.codes import ResultCode
from wigeonreach.exceptions import FleetTextError
from wigeonreach.text._checks import find_faults
from wigeonreach.text._lines import find_line
from wigeonreach.text._model import (
    Budget,
    FleetText,
    Maintenance,
    Pool,
    Service,
    Team,
)
from wigeonreach.text._schema import ServiceSchema, TextSchema

_LINE_PATTERN = re.compile(r'at line (\d+)')
_CODE_BY_KIND = MappingProxyType(
    {
        'extra_forbidden': ResultCode.TEXT_UNKNOWN_KEY,
        'missing': ResultCode.TEXT_MISSING_KEY,
    }
)


def parse_fleet_text(text: str) -> FleetText:
    """Parse and check a configuration text.

    Parameters
    ----------
    text
        TOML written by the operator.

    Returns
    -------
    FleetText
        The checked text.

    Raises
    ------
    FleetTextError
        If any part is invalid; the whole text is then rejected.  The message
        gives the line, the key and what is allowed.
    """
    schema = _validate(text, _load(text))
    fault = next(find_faults(schema), None)
    if fault is not None:
        raise _refusal(text, fault.code, fault.path, fault.allowed)
    return convert_schema(schema)


def _load(text: str) -> dict[str, object]:
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        found = _LINE_PATTERN.search(str(error))
        # A message without a line number refers to the end of the text.
        line = found.group(1) if found else str(len(text.splitlines()))
        raise FleetTextError(
            ResultCode.TEXT_SYNTAX,
            f'line {line}: {error}; allowed: TOML 1.0',
        ) from error


def _validate(text: str, raw: dict[str, object]) -> TextSchema:
    try:
        return TextSchema.model_validate(raw)
    except pydantic.ValidationError as error:
        first = error.errors(include_url=False)[0]
        path = tuple(str(part) for part in first['loc'])
        code = _CODE_BY_KIND.get(first['type'], ResultCode.TEXT_BAD_VALUE)
        raise _refusal(text, code, path, _allowed(first['msg'], path)) from None


def _allowed(message: str, path: tuple[str, ...]) -> str:
    if not message.startswith('Extra inputs'):
        return message
    return 'unknown key; allowed: {0}'.format(
        ', '.join(sorted(_siblings(path))),
    )


def _siblings(path: tuple[str, ...]) -> set[str]:
    model: type[pydantic.BaseModel] = TextSchema
    for part in path[:-1]:
        field = model.model_fields.get(part)
        if field is None:
            continue
        inner = getattr(field.annotation, '__args__', (field.annotation,))[-1]
        if isinstance(inner, type) and issubclass(inner, pydantic.BaseModel):
            model = inner
    return set(model.model_fields)


def _refusal(
    text: str,
    code: ResultCode,
    path: tuple[str, ...],
    allowed: str,
) -> FleetTextError:
    line = find_line(text, path)
    key = '.'.join(path)
    return FleetTextError(code, f'line {line}: {key}: {allowed}')


def convert_schema(schema: TextSchema) -> FleetText:
    """Convert a validated schema to data classes."""
    maintenance = schema.maintenance
    return FleetText(
        name=schema.fleet.name,
        guards=schema.fleet.guard,
        maintenance=Maintenance(**maintenance.model_dump()),
        services={
            name: _to_service(name, service)
            for name, service in schema.services.items()
        },
        pools={
            name: Pool(name=name, vms=pool.vms)
            for name, pool in schema.pools.items()
        },
        teams={
            name: Team(name=name, **team.model_dump())
            for name, team in schema.teams.items()
        },
    )


def _to_service(name: str, service: ServiceSchema) -> Service:
    return Service(
        name=name,
        mode=service.mode,
        depends_on=service.depends_on,
        pool=service.pool,
        promised_slots=service.promised_slots,
        guards=service.guard,
        deferrable_ratio=service.deferrable_ratio,
        deadline_s=service.deadline_s,
        idempotent_methods=service.idempotent_methods,
        retry_ratio=service.retry_ratio,
        budget=Budget(**service.budget.model_dump()),
    )
