"""Command that starts a manager."""

from __future__ import annotations

from typing import Annotated, Any

import typer

from wigeonreach._runner import start_daemon
from wigeonreach.cli import _options as options
from wigeonreach.cli._errors import exit_on_error
from wigeonreach.fleet import WaveSettings
from wigeonreach.manager import Manager, ManagerSettings
from wigeonreach.observe import LogFormat, LogLevel
from wigeonreach.wire import parse_address, parse_members

_MIN_DURATION_S = 0.01


def _duration_option(name: str, text: str) -> Any:
    return typer.Option(
        envvar=f'WIGEONREACH_{name}',
        min=_MIN_DURATION_S,
        help=text,
    )


def manager(
    name: options.Name,
    zone: options.Zone,
    http: options.Http,
    replicas: options.Replicas,
    platform: Annotated[
        str,
        typer.Option(
            envvar='WIGEONREACH_PLATFORM', help='URL of the platform.'
        ),
    ],
    lease_s: Annotated[
        float,
        typer.Option(
            envvar='WIGEONREACH_LEASE_S',
            min=1,
            help='Duration of the lease that the active manager holds.',
        ),
    ] = 10.0,
    poll_s: Annotated[
        float,
        typer.Option(
            envvar='WIGEONREACH_POLL_S',
            min=0.05,
            help='Interval between polls of the platform.',
        ),
    ] = 1.0,
    max_at_once: Annotated[
        int,
        typer.Option(
            envvar='WIGEONREACH_MAX_AT_ONCE',
            min=1,
            help='Most VMs of one wave that are down at once.',
        ),
    ] = 20,
    drain_limit_s: Annotated[
        float,
        _duration_option('DRAIN_LIMIT_S', 'Longest drain of a VM.'),
    ] = 900.0,
    reboot_limit_s: Annotated[
        float,
        _duration_option('REBOOT_LIMIT_S', 'Longest reboot of a VM.'),
    ] = 600.0,
    check_limit_s: Annotated[
        float,
        _duration_option(
            'CHECK_LIMIT_S', 'Longest wait until a VM is healthy.'
        ),
    ] = 180.0,
    settle_s: Annotated[
        float,
        _duration_option(
            'SETTLE_S', 'How long a VM is watched after its return.'
        ),
    ] = 300.0,
    resend_s: Annotated[
        float,
        _duration_option('RESEND_S', 'Time after which an action is resent.'),
    ] = 10.0,
    expected_s: Annotated[
        float,
        _duration_option('EXPECTED_S', 'Expected time that a VM is down.'),
    ] = 900.0,
    log_format: options.Format = LogFormat.JSON,
    log_level: options.Level = LogLevel.INFO,
) -> None:
    """Run a manager, which carries out maintenance waves."""
    with exit_on_error():
        settings = ManagerSettings(
            name=name,
            zone=zone,
            http=parse_address(http, '--http'),
            replicas=parse_members(replicas, '--replica'),
            platform_url=platform,
            lease_s=lease_s,
            poll_s=poll_s,
            waves=WaveSettings(
                max_at_once=max_at_once,
                drain_limit_s=drain_limit_s,
                reboot_limit_s=reboot_limit_s,
                check_limit_s=check_limit_s,
                settle_s=settle_s,
                resend_s=resend_s,
                expected_s=expected_s,
            ),
        )
        start_daemon(
            name,
            log_format,
            log_level,
            lambda logger: Manager(settings, logger),
        )
