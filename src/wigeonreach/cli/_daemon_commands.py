"""Commands that start an entry or a replica."""

from __future__ import annotations

import pathlib
from typing import Annotated

import typer

from wigeonreach._runner import start_daemon
from wigeonreach.cli import _options as options
from wigeonreach.cli._errors import exit_on_error
from wigeonreach.entry import Entry, EntrySettings
from wigeonreach.observe import LogFormat, LogLevel
from wigeonreach.state import Replica, ReplicaSettings
from wigeonreach.wire import parse_address, parse_members

_MEBIBYTE = 1024 * 1024


def entry(
    name: options.Name,
    zone: options.Zone,
    http: options.Http,
    listen: options.Listen,
    replicas: options.Replicas,
    peers: options.Peers = [],  # noqa: B006, WPS404 - typer copies it
    max_body_bytes: Annotated[
        int,
        typer.Option(
            envvar='WIGEONREACH_MAX_BODY_BYTES',
            min=1,
            help='Largest request body in bytes.',
        ),
    ] = _MEBIBYTE,
    max_deadline_s: Annotated[
        float,
        typer.Option(
            envvar='WIGEONREACH_MAX_DEADLINE_S',
            min=0.1,
            help='Longest deadline; also limits a graceful stop.',
        ),
    ] = 10.0,
    readiness_notice_s: Annotated[
        float,
        typer.Option(
            envvar='WIGEONREACH_READINESS_NOTICE_S',
            min=0,
            help='How long the load balancer takes to see a failed /readyz.',
        ),
    ] = 1.0,
    contact_limit_s: Annotated[
        float,
        typer.Option(
            envvar='WIGEONREACH_CONTACT_LIMIT_S',
            min=0.6,
            help='How long a peer may be silent before targets are checked.',
        ),
    ] = 1.0,
    head_timeout_s: Annotated[
        float,
        typer.Option(
            envvar='WIGEONREACH_HEAD_TIMEOUT_S',
            min=0.1,
            help='How long a caller may take to send the request headers.',
        ),
    ] = 15.0,
    key_lifetime_s: Annotated[
        float,
        typer.Option(
            envvar='WIGEONREACH_KEY_LIFETIME_S',
            min=1,
            help='How long a request may be resent with its key.',
        ),
    ] = 300.0,
    log_format: options.Format = LogFormat.JSON,
    log_level: options.Level = LogLevel.INFO,
) -> None:
    """Run an entry, which forwards callers' requests to targets."""
    with exit_on_error():
        settings = EntrySettings(
            name=name,
            zone=zone,
            http=parse_address(http, '--http'),
            listen=parse_address(listen, '--listen'),
            peers=parse_members(peers, '--peer'),
            replicas=parse_members(replicas, '--replica'),
            max_body_bytes=max_body_bytes,
            max_deadline_s=max_deadline_s,
            readiness_notice_s=readiness_notice_s,
            contact_limit_s=contact_limit_s,
            head_timeout_s=head_timeout_s,
            key_lifetime_s=key_lifetime_s,
        )
        start_daemon(
            name,
            log_format,
            log_level,
            lambda logger: Entry(settings, logger),
        )


def replica(
    name: options.Name,
    zone: options.Zone,
    listen: options.Listen,
    replicas: options.Replicas,
    data_folder: options.DataFolder = pathlib.Path('data'),
    log_format: options.Format = LogFormat.JSON,
    log_level: options.Level = LogLevel.INFO,
) -> None:
    """Run a replica, which stores the durable state on its disk."""
    with exit_on_error():
        settings = ReplicaSettings(
            name=name,
            zone=zone,
            listen=parse_address(listen, '--listen'),
            members=parse_members(replicas, '--replica'),
            data_folder=data_folder,
        )
        start_daemon(
            name,
            log_format,
            log_level,
            lambda logger: Replica(settings, logger),
        )
