"""Commands that apply, preview and restore configuration texts."""

from __future__ import annotations

import asyncio
import pathlib
import time
from collections.abc import Sequence
from types import MappingProxyType
from typing import Annotated

import msgspec
import typer

from wigeonreach.charts import load_chart
from wigeonreach.cli import _options as options
from wigeonreach.cli._client import (
    RolloutProgress,
    find_progress,
    operator_client,
    status_of_all,
)
from wigeonreach.cli._errors import (
    exit_code_for,
    exit_on_error,
    exit_with_message,
)
from wigeonreach.codes import ExitCode, ResultCode
from wigeonreach.exceptions import SettingError
from wigeonreach.rollout import describe_changes
from wigeonreach.text import diff_texts, parse_fleet_text
from wigeonreach.wire import Member, parse_members
from wigeonreach.wire._command_messages import ChangeText, Reply, RestoreText
from wigeonreach.wire._state_messages import AcceptedText, ReadAccepted

_CHART = load_chart('change')
_EVENT_BY_CODE = MappingProxyType(
    {
        ResultCode.OK: 'valid',
        ResultCode.STATE_CONFLICT: 'outdated',
        ResultCode.STATE_RESULT_FORGOTTEN: 'too_old',
    }
)
_POLL_S = 0.05
_DEFAULT_WAIT_S = 7.0
TextPath = Annotated[
    pathlib.Path,
    typer.Argument(
        exists=True, dir_okay=False, help='TOML file with the configuration.'
    ),
]
Base = Annotated[
    int | None,
    typer.Option(help='Version the change is based on; newest if omitted.'),
]
ChangeId = Annotated[
    str | None,
    typer.Option(help='Id of the change; resend it with the same id and base.'),
]
Wait = Annotated[
    float,
    typer.Option(min=0, help='Seconds to wait until the change is in force.'),
]


class ChangeReport(msgspec.Struct, frozen=True):
    """JSON that ``apply`` and ``restore`` print.

    ``state`` is a state of the chart ``change``.
    """

    state: str
    code: int
    name: str
    detail: str
    version: int
    reached: list[str]
    behind: list[str]


class PlanReport(msgspec.Struct, frozen=True):
    """JSON that ``plan`` prints."""

    base_version: int
    changes: list[str]


def apply(
    path: TextPath,
    replicas: options.Replicas,
    base: Base = None,
    change_id: ChangeId = None,
    wait_s: Wait = _DEFAULT_WAIT_S,
    as_json: options.AsJson = False,
) -> None:
    """Apply a configuration text and wait until it is in force."""
    text = path.read_text()
    with exit_on_error():
        members = parse_members(replicas, '--replica')
        _require_base_for_resend(base, change_id)
        report = asyncio.run(
            _submit_change(members, text, base, change_id, wait_s),
        )
    _print_and_exit(report, as_json)


def restore(
    version: Annotated[int, typer.Argument(help='Version to restore.')],
    replicas: options.Replicas,
    base: Base = None,
    change_id: ChangeId = None,
    wait_s: Wait = _DEFAULT_WAIT_S,
    as_json: options.AsJson = False,
) -> None:
    """Apply the text of an old version again, as a new version."""
    with exit_on_error():
        members = parse_members(replicas, '--replica')
        _require_base_for_resend(base, change_id)
        report = asyncio.run(
            _submit_change(members, version, base, change_id, wait_s),
        )
    _print_and_exit(report, as_json)


def plan(
    path: TextPath,
    replicas: options.Replicas,
    as_json: options.AsJson = False,
) -> None:
    """Check a text and show what would change, without changing it."""
    text = path.read_text()
    with exit_on_error():
        members = parse_members(replicas, '--replica')
        report = asyncio.run(_plan(members, text))
    if as_json:
        typer.echo(msgspec.json.encode(report).decode())
        return
    typer.echo(f'based on version {report.base_version}')
    for line in report.changes:
        typer.echo(line)


def _require_base_for_resend(base: int | None, change_id: str | None) -> None:
    # Defaulting to the newest base would apply a resent change a second time
    # once the result of the first submission is forgotten.
    if change_id is not None and base is None:
        raise SettingError(
            ResultCode.SETTING_MISSING,
            '--base: required with --change-id; use the same in each resend',
        )


async def _plan(members: Sequence[Member], text: str) -> PlanReport:
    wanted = parse_fleet_text(text)
    client = operator_client(members)
    accepted = await client.read(ReadAccepted(), AcceptedText)
    if accepted.version:
        before = parse_fleet_text(accepted.text)
        lines = [change.line() for change in diff_texts(before, wanted)]
    else:
        lines = list(describe_changes('', text))
    return PlanReport(accepted.version, lines)


async def _submit_change(
    members: Sequence[Member],
    wanted: str | int,
    base: int | None,
    change_id: str | None,
    wait_s: float,
) -> ChangeReport:
    client = operator_client(members)
    if base is None:
        base = (await client.read(ReadAccepted(), AcceptedText)).version
    action: ChangeText | RestoreText
    if isinstance(wanted, str):
        action = ChangeText(base, wanted)
    else:
        action = RestoreText(base, wanted)
    reply = await client.submit(action, change_id)
    progress = RolloutProgress([], [])
    if reply.code == ResultCode.OK:
        progress = await _wait_in_force(members, reply.version, wait_s)
    return _build_report(reply, progress)


def _build_report(reply: Reply, progress: RolloutProgress) -> ChangeReport:
    return ChangeReport(
        _change_state(reply, progress),
        reply.code,
        ResultCode(reply.code).name.lower(),
        reply.detail,
        reply.version,
        progress.reached,
        progress.behind,
    )


def _change_state(reply: Reply, progress: RolloutProgress) -> str:
    event = _EVENT_BY_CODE.get(ResultCode(reply.code), 'invalid')
    state = _CHART.step(_CHART.initial, event) or _CHART.initial
    reached = 'timed_out' if progress.behind else 'reached_all'
    return _CHART.step(state, reached) or state


async def _wait_in_force(
    members: Sequence[Member],
    version: int,
    wait_s: float,
) -> RolloutProgress:
    deadline_s = time.monotonic() + wait_s
    while True:
        progress = find_progress(await status_of_all(members), version)
        if not progress.behind or time.monotonic() >= deadline_s:
            return progress
        await asyncio.sleep(_POLL_S)


def _print_and_exit(report: ChangeReport, as_json: bool) -> None:
    exit_code = exit_code_for(report.code)
    if report.behind:
        exit_code = ExitCode.NOT_IN_FORCE
    if as_json:
        typer.echo(msgspec.json.encode(report).decode())
        raise typer.Exit(int(exit_code))
    if report.code != ResultCode.OK:
        exit_with_message(
            exit_code, f'{report.code} {report.name}: {report.detail}'
        )
    if report.behind:
        names = ', '.join(report.behind)
        exit_with_message(
            exit_code,
            f'version {report.version} accepted, not yet in force on: {names}',
        )
    typer.echo(
        f'version {report.version} accepted and in force '
        f'on {len(report.reached)} processes',
    )
