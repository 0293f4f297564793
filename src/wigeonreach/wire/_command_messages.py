"""Commands that change the durable state, and the reply to each."""

from __future__ import annotations

from typing import TypeAlias

from wigeonreach.rollout._delta import LineEdit
from wigeonreach.wire._base import WireMessage


class ChangeText(WireMessage, frozen=True):
    """Make a text the accepted one, if it is based on the newest version."""

    base_version: int
    text: str


class EditText(WireMessage, frozen=True):
    """Make the base version's text, with some lines edited, the accepted one.

    A replica puts this in the log in place of a ``ChangeText``, so that a
    small change of a large text takes few bytes on each disk and link.
    ``checksum`` is that of the resulting text.
    """

    base_version: int
    edits: tuple[LineEdit, ...]
    checksum: int


class RestoreText(WireMessage, frozen=True):
    """Accept the text of an old version again, as a new version."""

    base_version: int
    version: int


class StartWave(WireMessage, frozen=True):
    """Record a new maintenance wave; a wave id is used once."""

    wave_id: str
    body: bytes


class SteerWave(WireMessage, frozen=True):
    """Do what an operator asks of a wave: pause, resume or stop."""

    wave_id: str
    event: str


class RecordWave(WireMessage, frozen=True):
    """Record the progress of a wave.

    It is refused unless ``record_version`` is the newest one and, where
    ``lease`` names a lease, ``token`` is its newest token.  ``event`` may
    finish the wave; empty leaves its phase as it is.
    """

    wave_id: str
    record_version: int
    body: bytes
    event: str = ''
    lease: str = ''
    token: int = 0


class GrantVm(WireMessage, frozen=True):
    """Give a VM that no pool owns to a pool, under a lease."""

    vm: str
    pool: str
    lease_s: float


class RenewVm(WireMessage, frozen=True):
    """Prolong the lease of a pool on its VM."""

    vm: str
    token: int
    lease_s: float


class ReleaseVm(WireMessage, frozen=True):
    """Ask the pool that owns a VM to give it up."""

    vm: str
    token: int


class ConfirmRelease(WireMessage, frozen=True):
    """Tell that the pool no longer uses the VM."""

    vm: str
    token: int


class AcquireLease(WireMessage, frozen=True):
    """Ask for a named lease, such as the one on managing a zone."""

    name: str
    holder: str
    duration_s: float


class RenewLease(WireMessage, frozen=True):
    """Prolong a named lease that is still held."""

    name: str
    holder: str
    token: int
    duration_s: float


class ReleaseLease(WireMessage, frozen=True):
    """Give a named lease up before it ends."""

    name: str
    holder: str
    token: int


class RegisterProcess(WireMessage, frozen=True):
    """Tell that a process follows the accepted text."""

    process: str
    zone: str


class ForgetProcess(WireMessage, frozen=True):
    """Tell that a process is gone for good."""

    process: str


Action: TypeAlias = (
    ChangeText
    | EditText
    | RestoreText
    | StartWave
    | SteerWave
    | RecordWave
    | GrantVm
    | RenewVm
    | ReleaseVm
    | ConfirmRelease
    | AcquireLease
    | RenewLease
    | ReleaseLease
    | RegisterProcess
    | ForgetProcess
)


class Command(WireMessage, frozen=True):
    """One action with what makes a resend of it recognisable.

    Parameters
    ----------
    command_id
        The same for every resend of the same command.
    seen_revision
        Newest revision that the sender had seen when it made the command; a
        resend carries the first one.
    author
        Who asks.
    at_s
        Unix time in seconds at which the command was made; the only clock
        that the state machine knows.
    action
        What to do.
    """

    command_id: str
    seen_revision: int
    author: str
    at_s: float
    action: Action


class Reply(WireMessage, frozen=True):
    """What became of a command.

    Parameters
    ----------
    code
        A result code; 0 if it was done.
    detail
        For a person: what is allowed, or what was in the way.
    revision
        How many commands the state had taken after this one.
    version
        Version of the text or of the record after this command.
    token
        Token of the grant, where one was made.
    """

    code: int
    detail: str
    revision: int
    version: int = 0
    token: int = 0
