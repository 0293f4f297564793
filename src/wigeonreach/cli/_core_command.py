"""Command that starts a core process."""

from __future__ import annotations

import enum
import pathlib
from typing import Annotated

import typer

from wigeonreach._runner import start_daemon
from wigeonreach.cli import _options as options
from wigeonreach.cli._errors import exit_on_error
from wigeonreach.core import Core, CoreSettings, NullAdvisor, NullVmApi
from wigeonreach.observe import LogFormat, Logger, LogLevel, Metrics
from wigeonreach.scheduling import SchedulingSettings
from wigeonreach.wire import parse_address


class Switch(enum.StrEnum):
    """Whether a mechanism is in use."""

    ON = 'on'
    OFF = 'off'


def core(
    zone: options.Zone,
    listen: options.Listen,
    seeds: Annotated[
        list[str],
        typer.Option(
            '--seed',
            envvar='WIGEONREACH_SEEDS',
            help='IP:PORT of a core process; repeat for each.',
        ),
    ],
    advertise: Annotated[
        str,
        typer.Option(
            envvar='WIGEONREACH_ADVERTISE',
            help='IP:PORT at which others reach it; default: --listen.',
        ),
    ] = '',
    data_folder: options.DataFolder = pathlib.Path('data'),
    first_start: Annotated[
        bool,
        typer.Option(
            envvar='WIGEONREACH_FIRST_START',
            help='Set when the whole system starts for the first time.',
        ),
    ] = False,
    losses: Annotated[
        int,
        typer.Option(
            envvar='WIGEONREACH_LOSSES',
            min=0,
            help='Disks that may be lost at once; needs 2 * LOSSES + 1 voters.',
        ),
    ] = 1,
    shortage: Annotated[
        Switch,
        typer.Option(
            envvar='WIGEONREACH_SHORTAGE',
            help='Whether late jobs make way while VMs are short.',
        ),
    ] = Switch.ON,
    home_zones: Annotated[
        Switch,
        typer.Option(
            envvar='WIGEONREACH_HOME_ZONES',
            help='Whether the tasks of a batch job preferably share a zone.',
        ),
    ] = Switch.OFF,
    log_format: options.Format = LogFormat.JSON,
    log_level: options.Level = LogLevel.INFO,
) -> None:
    """Run a core process, which stores jobs and schedules workers."""
    with exit_on_error():
        advertised = (
            parse_address(advertise, '--advertise') if advertise else None
        )
        settings = CoreSettings(
            listen=parse_address(listen, '--listen'),
            zone=zone,
            seeds=tuple(str(parse_address(seed, '--seed')) for seed in seeds),
            data_folder=data_folder,
            is_first_start=first_start,
            tolerated_losses=losses,
            api_port=0,
            order_pause_s=0,
            scheduling=SchedulingSettings(
                move_s=0,
                shares_shortage=shortage is Switch.ON,
                keeps_jobs_in_zones=home_zones is Switch.ON,
            ),
            advertised=advertised,
        )
        start_daemon(
            settings.name,
            log_format,
            log_level,
            lambda logger: _build_core(settings, logger),
        )


def _build_core(settings: CoreSettings, logger: Logger) -> Core:
    # Without a platform there are no VMs to order and no advisor to query.
    return Core(settings, NullVmApi(), NullAdvisor(), logger, Metrics())
