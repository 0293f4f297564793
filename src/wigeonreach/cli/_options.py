"""Options that several commands share."""

from __future__ import annotations

import pathlib
from typing import Annotated

import typer

from wigeonreach.observe import LogFormat, LogLevel

Name = Annotated[
    str,
    typer.Option(envvar='WIGEONREACH_NAME', help='Name of this process.'),
]
Zone = Annotated[
    str,
    typer.Option(
        envvar='WIGEONREACH_ZONE', help='Availability zone of this process.'
    ),
]
Http = Annotated[
    str,
    typer.Option(
        envvar='WIGEONREACH_HTTP', help='IP:PORT on which to serve HTTP.'
    ),
]
Listen = Annotated[
    str,
    typer.Option(
        envvar='WIGEONREACH_LISTEN',
        help='IP:PORT on which to accept other processes.',
    ),
]
Peers = Annotated[
    list[str],
    typer.Option(
        '--peer',
        envvar='WIGEONREACH_PEERS',
        help='NAME@ZONE=IP:PORT of an entry; repeat for each.',
    ),
]
Replicas = Annotated[
    list[str],
    typer.Option(
        '--replica',
        envvar='WIGEONREACH_REPLICAS',
        help='NAME@ZONE=IP:PORT of a replica; repeat for each.',
    ),
]
DataFolder = Annotated[
    pathlib.Path,
    typer.Option(
        envvar='WIGEONREACH_DATA_FOLDER',
        help='Folder for durable files.',
    ),
]
Format = Annotated[
    LogFormat,
    typer.Option(envvar='WIGEONREACH_LOG_FORMAT', help='Format of log lines.'),
]
Level = Annotated[
    LogLevel,
    typer.Option(
        envvar='WIGEONREACH_LOG_LEVEL', help='Lowest level that is logged.'
    ),
]
AsJson = Annotated[bool, typer.Option('--json', help='Print JSON.')]
