"""Commands that change the durable state, and the reply to each."""

from __future__ import annotations

from typing import TypeAlias

from wigeonreach.rollout._delta import LineEdit
from wigeonreach.wire._base import WireMessage


class ChangeText(WireMessage, frozen=True):
    """Accept a new text, if it is based on the newest version."""

    base_version: int
    text: str


class EditText(WireMessage, frozen=True):
    """Accept the base version's text with some lines edited.

    A replica writes this to the log in place of a ``ChangeText``, so that a
    small change of a large text takes few bytes on each disk and link.
    ``checksum`` is the checksum of the resulting text.
    """

    base_version: int
    edits: tuple[LineEdit, ...]
    checksum: int


class RestoreText(WireMessage, frozen=True):
    """Accept the text of an old version again, as a new version."""

    base_version: int
    version: int


class StartWave(WireMessage, frozen=True):
    """Record a new maintenance wave; a wave id can't be used twice."""

    wave_id: str
    body: bytes


class SteerWave(WireMessage, frozen=True):
    """Apply an operator's request to a wave: pause, resume or stop."""

    wave_id: str
    event: str


class RecordWave(WireMessage, frozen=True):
    """Record the progress of a wave.

    It is refused unless ``record_version`` is the newest version and, if
    ``lease`` names a lease, ``token`` is the newest token of that lease.
    ``event`` may finish the wave; if empty, the phase stays as it is.
    """

    wave_id: str
    record_version: int
    body: bytes
    event: str = ''
    lease: str = ''
    token: int = 0


class GrantVm(WireMessage, frozen=True):
    """Grant a VM that no pool owns to a pool, under a lease."""

    vm: str
    pool: str
    lease_s: float


class RenewVm(WireMessage, frozen=True):
    """Renew the lease of a pool on its VM."""

    vm: str
    token: int
    lease_s: float


class ReleaseVm(WireMessage, frozen=True):
    """Ask the pool that owns a VM to release it."""

    vm: str
    token: int


class ConfirmRelease(WireMessage, frozen=True):
    """Confirm that the pool no longer uses the VM."""

    vm: str
    token: int


class AcquireLease(WireMessage, frozen=True):
    """Acquire a named lease, such as the one on managing a zone."""

    name: str
    holder: str
    duration_s: float


class RenewLease(WireMessage, frozen=True):
    """Renew a named lease that is still held."""

    name: str
    holder: str
    token: int
    duration_s: float


class ReleaseLease(WireMessage, frozen=True):
    """Release a named lease before it expires."""

    name: str
    holder: str
    token: int


class RegisterProcess(WireMessage, frozen=True):
    """Register a process that follows the accepted text."""

    process: str
    zone: str


class ForgetProcess(WireMessage, frozen=True):
    """Unregister a process that is gone permanently."""

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
    """One action, with the metadata by which a resend of it is recognised.

    Parameters
    ----------
    command_id
        Id of the command; every resend carries the same one.
    seen_revision
        Newest revision that the sender had seen when it first sent the
        command; a resend repeats it.
    author
        Name of the person or process that issued the command.
    at_s
        Unix time in seconds at which the command was created; the only clock
        that the state machine uses.
    action
        The action to apply.
    """

    command_id: str
    seen_revision: int
    author: str
    at_s: float
    action: Action


class Reply(WireMessage, frozen=True):
    """Result of a command.

    Parameters
    ----------
    code
        A result code; 0 on success.
    detail
        Human-readable text: what is allowed, or why the command failed.
    revision
        Number of commands applied to the state, this one included.
    version
        Version of the text or of the record after this command.
    token
        Token of the lease that was granted, if any.
    """

    code: int
    detail: str
    revision: int
    version: int = 0
    token: int = 0
