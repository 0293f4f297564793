"""Decode the operator's manifests and waves."""

from __future__ import annotations

import collections
from collections.abc import Container, Iterable, Set

import msgspec

from wigeonreach.codes import ResultCode
from wigeonreach.exceptions import FleetTextError
from wigeonreach.jobs import AdvicePolicy, Manifest, QueueSpec, ServiceSpec
from wigeonreach.platform._bodies import (
    Amount,
    UnreadableBodyError,
    decode_body,
)
from wigeonreach.wire._call_messages import StartWaveCall
from wigeonreach.workspaces import Amounts, WorkspaceSpec, credential_of


class _Advice(msgspec.Struct, frozen=True, rename='camel'):
    decision_ms: Amount = 0
    # For each worker that is asked about.
    period_ms: Amount = 0
    validity_ms: Amount = 0


class _Route(msgspec.Struct, frozen=True, rename='camel'):
    """A queue; the platform calls it a route."""

    name: str
    host: str
    path_prefix: str
    service: str
    timeout_ms: Amount
    # Part of a job's objective; the platform names it after a latency.
    target_latency_ms: Amount = 0
    priority: Amount = 0
    # How many failed runs of a task end its job.
    max_attempts: Amount = 1
    # The other part of the objective: times the longest chain of work.
    slack_factor: float = 1.0
    # Whether and how the advisor has to be asked about each step.
    recommendation: _Advice | None = None
    # Whether calls need no API key.
    public: bool = False


class _Service(msgspec.Struct, frozen=True, rename='camel'):
    name: str
    # Whether its workers refuse what does not fit.
    enforces_capacity: bool = False
    # Whether its VMs are off and cost nothing.
    standby: bool = False


class _Limits(msgspec.Struct, frozen=True, rename='camel'):
    max_body_bytes: Amount = 0


class _Cap(msgspec.Struct, frozen=True, rename='camel'):
    # In thousandths of a processor.
    cpu: Amount = 0
    mem_mb: Amount = 0
    # A number of accelerators.
    gpu: Amount = 0


class _Tenant(msgspec.Struct, frozen=True, rename='camel'):
    """A workspace; the platform calls it a tenant."""

    name: str
    api_keys: tuple[str, ...] = ()
    weight: Amount = 0
    cap: _Cap = _Cap()


class _Manifest(msgspec.Struct, frozen=True):
    version: Amount
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...]
    limits: _Limits = _Limits()
    tenants: tuple[_Tenant, ...] | None = None


class _Wave(msgspec.Struct, frozen=True):
    wave: Amount
    machines: tuple[str, ...]
    deadline_s: float = msgspec.field(name='deadlineS')
    # Most of its VMs that are down at once.
    cap: Amount = 1


_MANIFESTS = msgspec.json.Decoder(_Manifest)
_WAVES = msgspec.json.Decoder(_Wave)


def decode_manifest(body: bytes, asks_credentials: bool = False) -> Manifest:
    """Return a manifest.

    Parameters
    ----------
    body
        As the operator sent it.
    asks_credentials
        Whether one without workspaces lets nobody in, instead of all.

    Raises
    ------
    FleetTextError
        If it can't be read in full or contradicts itself.
    """
    try:
        read = decode_body(_MANIFESTS, body)
    except UnreadableBodyError as error:
        raise FleetTextError(ResultCode.TEXT_SYNTAX, str(error)) from error
    _check(read)
    return Manifest(
        version=read.version,
        queues=tuple(_queue(route) for route in read.routes),
        services=tuple(
            ServiceSpec(
                service.name,
                service.enforces_capacity,
                service.standby,
            )
            for service in read.services
        ),
        max_body_bytes=read.limits.max_body_bytes,
        document=body,
        workspaces=_workspaces(
            () if asks_credentials and read.tenants is None else read.tenants,
        ),
    )


def decode_wave(body: bytes) -> StartWaveCall:
    """Return a wave.

    Raises
    ------
    FleetTextError
        If it can't be read.
    """
    try:
        read = decode_body(_WAVES, body)
    except UnreadableBodyError as error:
        raise FleetTextError(ResultCode.TEXT_SYNTAX, str(error)) from error
    return StartWaveCall(read.wave, read.machines, read.deadline_s, read.cap)


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
        advice=_policy(advice) if advice else None,
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
            tuple(map(credential_of, tenant.api_keys)),
            tenant.weight,
            Amounts(tenant.cap.cpu, tenant.cap.mem_mb, tenant.cap.gpu),
        )
        for tenant in tenants
    )


def _policy(advice: _Advice) -> AdvicePolicy:
    return AdvicePolicy(
        advice.decision_ms,
        advice.period_ms,
        advice.validity_ms,
    )


def _check(read: _Manifest) -> None:
    if read.version < 1:
        raise FleetTextError(
            ResultCode.TEXT_BAD_VALUE,
            f'version: {read.version}; allowed: 1 up',
        )
    services = {service.name for service in read.services}
    places = collections.Counter(
        (route.host, route.path_prefix) for route in read.routes
    )
    for route in read.routes:
        _check_route(route, services)
        if places[route.host, route.path_prefix] > 1:
            raise FleetTextError(
                ResultCode.TEXT_BAD_VALUE,
                f'{route.name}: another route has its host and prefix',
            )
    _check_tenants(read.tenants or ())


def _check_tenants(tenants: Iterable[_Tenant]) -> None:
    """Check that a key stands for one tenant; no error shows a key."""
    names: set[str] = set()
    keys: set[str] = set()
    for tenant in tenants:
        fault = _fault_of(tenant, names, keys)
        if fault:
            raise FleetTextError(
                ResultCode.TEXT_BAD_VALUE,
                f'tenant {tenant.name}: {fault}',
            )
        names.add(tenant.name)
        keys.update(tenant.api_keys)


def _fault_of(
    tenant: _Tenant,
    names: Container[str],
    keys: Set[str],
) -> str:
    """Return what is wrong with a tenant beside those before it, or nothing."""
    own = set(tenant.api_keys)
    if tenant.name in names:
        return 'another tenant has its name'
    if len(own) < len(tenant.api_keys):
        return 'one key twice'
    return 'another tenant has one of its keys' if own & keys else ''


def _check_route(route: _Route, services: Container[str]) -> None:
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
