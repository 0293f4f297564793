"""Decode the operator's manifests and waves."""

from __future__ import annotations

import collections
from collections.abc import Container, Iterable, Set

import msgspec

from wigeonreach.codes import ResultCode
from wigeonreach.exceptions import FleetTextError
from wigeonreach.jobs import AdvicePolicy, Manifest, QueueSpec, ServiceSpec
from wigeonreach.platform._bodies import (
    NonNegativeInt,
    UnreadableBodyError,
    decode_body,
)
from wigeonreach.wire._call_messages import StartWaveCall
from wigeonreach.workspaces import Amounts, WorkspaceSpec, credential_digest


class _Recommendation(msgspec.Struct, frozen=True, rename='camel'):
    decision_ms: NonNegativeInt = 0
    # Per worker that is asked about.
    period_ms: NonNegativeInt = 0
    validity_ms: NonNegativeInt = 0


class _Route(msgspec.Struct, frozen=True, rename='camel'):
    """A queue, which the platform calls a route."""

    name: str
    host: str
    path_prefix: str
    service: str
    timeout_ms: NonNegativeInt
    # Fixed part of a job's objective; the platform names it after a latency.
    target_latency_ms: NonNegativeInt = 0
    priority: NonNegativeInt = 0
    # Number of failed runs, summed over the members of a gang, after which a
    # task is given up; its job then fails unless it has serving tasks.
    max_attempts: NonNegativeInt = 1
    # Other part of the objective: a multiple of the job's critical path.
    slack_factor: float = 1.0
    # Timing of the advisor's answers about a step; None if it is not asked.
    recommendation: _Recommendation | None = None
    # Whether calls need no API key.
    public: bool = False


class _Service(msgspec.Struct, frozen=True, rename='camel'):
    name: str
    # Whether its workers refuse tasks that exceed their capacity.
    enforces_capacity: bool = False
    # Whether its VMs are switched off and cost nothing.
    standby: bool = False


class _Limits(msgspec.Struct, frozen=True, rename='camel'):
    max_body_bytes: NonNegativeInt = 0


class _Cap(msgspec.Struct, frozen=True, rename='camel'):
    # In thousandths of a processor.
    cpu: NonNegativeInt = 0
    mem_mb: NonNegativeInt = 0
    # A number of accelerators.
    gpu: NonNegativeInt = 0


class _Tenant(msgspec.Struct, frozen=True, rename='camel'):
    """A workspace, which the platform calls a tenant."""

    name: str
    api_keys: tuple[str, ...] = ()
    weight: NonNegativeInt = 0
    cap: _Cap = _Cap()


class _Manifest(msgspec.Struct, frozen=True):
    version: NonNegativeInt
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...]
    limits: _Limits = _Limits()
    tenants: tuple[_Tenant, ...] | None = None


class _Wave(msgspec.Struct, frozen=True):
    wave: NonNegativeInt
    machines: tuple[str, ...]
    deadline_s: float = msgspec.field(name='deadlineS')
    # Maximum number of its VMs that are down at the same time.
    cap: NonNegativeInt = 1


_MANIFEST_DECODER = msgspec.json.Decoder(_Manifest)
_WAVE_DECODER = msgspec.json.Decoder(_Wave)


def decode_manifest(
    body: bytes,
    requires_credentials: bool = False,
) -> Manifest:
    """Decode and validate a manifest.

    Parameters
    ----------
    body
        Manifest as the operator sent it.
    requires_credentials
        Whether a manifest without workspaces rejects all clients, except those
        of public queues, instead of accepting all.

    Raises
    ------
    FleetTextError
        If the manifest is malformed or inconsistent.
    """
    try:
        parsed = decode_body(_MANIFEST_DECODER, body)
    except UnreadableBodyError as error:
        raise FleetTextError(ResultCode.TEXT_SYNTAX, str(error)) from error
    _validate(parsed)
    return Manifest(
        version=parsed.version,
        queues=tuple(_queue(route) for route in parsed.routes),
        services=tuple(
            ServiceSpec(
                service.name,
                service.enforces_capacity,
                service.standby,
            )
            for service in parsed.services
        ),
        max_body_bytes=parsed.limits.max_body_bytes,
        document=body,
        workspaces=_workspaces(
            ()
            if requires_credentials and parsed.tenants is None
            else parsed.tenants,
        ),
    )


def decode_wave(body: bytes) -> StartWaveCall:
    """Decode a maintenance wave.

    Raises
    ------
    FleetTextError
        If the body is malformed.
    """
    try:
        parsed = decode_body(_WAVE_DECODER, body)
    except UnreadableBodyError as error:
        raise FleetTextError(ResultCode.TEXT_SYNTAX, str(error)) from error
    return StartWaveCall(
        parsed.wave,
        parsed.machines,
        parsed.deadline_s,
        parsed.cap,
    )


def _queue(route: _Route) -> QueueSpec:
    advice = route.recommendation
    return QueueSpec(
        name=route.name,
        host=route.host,
        path_prefix=route.path_prefix,
        service=route.service,
        timeout_ms=route.timeout_ms,
        priority=route.priority,
        max_failures=max(route.max_attempts, 1),
        slack_factor=route.slack_factor,
        target_latency_ms=route.target_latency_ms,
        advice=_advice_policy(advice) if advice else None,
        is_public=route.public,
    )


def _workspaces(
    tenants: Iterable[_Tenant] | None,
) -> tuple[WorkspaceSpec, ...] | None:
    if tenants is None:
        return None
    return tuple(
        WorkspaceSpec(
            tenant.name,
            tuple(map(credential_digest, tenant.api_keys)),
            tenant.weight,
            Amounts(tenant.cap.cpu, tenant.cap.mem_mb, tenant.cap.gpu),
        )
        for tenant in tenants
    )


def _advice_policy(advice: _Recommendation) -> AdvicePolicy:
    return AdvicePolicy(
        advice.decision_ms,
        advice.period_ms,
        advice.validity_ms,
    )


def _validate(manifest: _Manifest) -> None:
    if manifest.version < 1:
        raise FleetTextError(
            ResultCode.TEXT_BAD_VALUE,
            f'version: {manifest.version}; allowed: 1 up',
        )
    services = {service.name for service in manifest.services}
    locations = collections.Counter(
        (route.host, route.path_prefix) for route in manifest.routes
    )
    for route in manifest.routes:
        _validate_route(route, services)
        if locations[route.host, route.path_prefix] > 1:
            raise FleetTextError(
                ResultCode.TEXT_BAD_VALUE,
                f'{route.name}: another route has its host and prefix',
            )
    _validate_tenants(manifest.tenants or ())


def _validate_tenants(tenants: Iterable[_Tenant]) -> None:
    """Check that names and keys are unique; no error message shows a key."""
    names: set[str] = set()
    keys: set[str] = set()
    for tenant in tenants:
        error = _tenant_error(tenant, names, keys)
        if error:
            raise FleetTextError(
                ResultCode.TEXT_BAD_VALUE,
                f'tenant {tenant.name}: {error}',
            )
        names.add(tenant.name)
        keys.update(tenant.api_keys)


def _tenant_error(
    tenant: _Tenant,
    names: Container[str],
    keys: Set[str],
) -> str:
    """Return why a tenant conflicts with preceding ones, or an empty string.

    Parameters
    ----------
    tenant
        Tenant to check.
    names, keys
        Names and keys of the preceding tenants.
    """
    own = set(tenant.api_keys)
    if tenant.name in names:
        return 'another tenant has its name'
    if len(own) < len(tenant.api_keys):
        return 'one key twice'
    return 'another tenant has one of its keys' if own & keys else ''


def _validate_route(route: _Route, services: Container[str]) -> None:
    if route.service not in services:
        raise FleetTextError(
            ResultCode.TEXT_UNKNOWN_REFERENCE,
            f'{route.name}: no service {route.service!r}',
        )
    if route.timeout_ms < 1:
        raise FleetTextError(
            ResultCode.TEXT_BAD_VALUE,
            f'{route.name}.timeoutMs: {route.timeout_ms}; allowed: 1 up',
        )
