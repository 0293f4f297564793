"""Start a manager."""

from __future__ import annotations

from typing import Annotated

import typer

from wigeonreach._runner import run_daemon
from wigeonreach.cli import _options as options
from wigeonreach.cli._errors import errors_as_exits
from wigeonreach.fleet import WaveSettings
from wigeonreach.manager import Manager, ManagerSettings
from wigeonreach.observe import LogFormat, Logger, configure_logs
from wigeonreach.wire import parse_address, parse_members

_Seconds = Annotated[float, typer.Option(min=0.01)]


def manager(
    name: options.Name,
    zone: options.Zone,
    http: options.Http,
    replicas: options.Replicas,
    platform: Annotated[
        str,
        typer.Option(envvar='WIGEONREACH_PLATFORM', help='URL of it.'),
    ],
    lease_s: Annotated[
        float,
        typer.Option(envvar='WIGEONREACH_LEASE_S', min=1),
    ] = 10.0,
    poll_s: Annotated[
        float,
        typer.Option(envvar='WIGEONREACH_POLL_S', min=0.05),
    ] = 1.0,
    max_at_once: Annotated[int, typer.Option(min=1)] = 20,
    drain_limit_s: _Seconds = 900.0,
    reboot_limit_s: _Seconds = 600.0,
    check_limit_s: _Seconds = 180.0,
    settle_s: _Seconds = 300.0,
    resend_s: _Seconds = 10.0,
    expected_s: _Seconds = 900.0,
    log_format: options.Format = LogFormat.JSON,
    log_level: options.Level = 'info',
) -> None:
    """Run a manager, which carries maintenance waves out."""
    with errors_as_exits():
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
        configure_logs(log_format, log_level)
        logger = Logger(name)
        run_daemon(Manager(settings, logger), logger)
