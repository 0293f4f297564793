"""Start a core process."""

from __future__ import annotations

import pathlib
from typing import Annotated

import typer

from wigeonreach._runner import start_daemon
from wigeonreach.cli import _options as options
from wigeonreach.cli._errors import errors_as_exits
from wigeonreach.core import Core, CoreSettings, NoAdvisor, UnmanagedVms
from wigeonreach.observe import Logger, LogFormat, LogLevel, Metrics
from wigeonreach.scheduling import SchedulingSettings
from wigeonreach.wire import parse_address


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
            help='IP:PORT at which others reach it, if not --listen.',
        ),
    ] = '',
    data_folder: options.DataFolder = pathlib.Path('data'),
    first_start: Annotated[
        bool,
        typer.Option(
            envvar='WIGEONREACH_FIRST_START',
            help='The whole system starts for the first time.',
        ),
    ] = False,
    losses: Annotated[
        int,
        typer.Option(
            envvar='WIGEONREACH_LOSSES',
            min=0,
            help='Disks that may be lost at once; twice as many and one vote.',
        ),
    ] = 1,
    log_format: options.Format = LogFormat.JSON,
    log_level: options.Level = LogLevel.INFO,
) -> None:
    """Run a core process, which keeps jobs and decides on workers."""
    with errors_as_exits():
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
            scheduling=SchedulingSettings(move_s=0),
            advertised=advertised,
        )
        start_daemon(
            settings.name,
            log_format,
            log_level,
            lambda logger: _make(settings, logger),
        )


def _make(settings: CoreSettings, logger: Logger) -> Core:
    # Without a platform there are no VMs to order and nobody to ask.
    return Core(settings, UnmanagedVms(), NoAdvisor(), logger, Metrics())
