"""Define the exceptions that the package raises."""

from __future__ import annotations

from wigeonreach.codes import Outcome, ResultCode


class WigeonreachError(Exception):
    """Base of all errors of this package.

    Parameters
    ----------
    code
        Number under which ``docs/RESULT-CODES.md`` describes the error.
    detail
        Readable description of what happened and what is allowed.
    """

    def __init__(self, code: ResultCode, detail: str) -> None:
        """Store the code next to the message."""
        super().__init__(code, detail)
        self.code = code
        self.detail = detail

    def __str__(self) -> str:
        """Return the message, with the number first for look-up."""
        return f'{int(self.code)} {self.code.name.lower()}: {self.detail}'


class SettingError(WigeonreachError):
    """A setting is missing or out of range."""


class FleetTextError(WigeonreachError):
    """A configuration text is invalid; none of it is applied."""


class RequestRefusedError(WigeonreachError):
    """A caller's request was refused and certainly did not run.

    Parameters
    ----------
    code
        Numbered reason.
    detail
        What happened and what is allowed.
    return_after_s
        Whole seconds after which to retry, if known.
    """

    def __init__(
        self,
        code: ResultCode,
        detail: str,
        return_after_s: int | None = None,
    ) -> None:
        """Store the retry time next to code and detail."""
        super().__init__(code, detail)
        self.return_after_s = return_after_s


class AttemptFailedError(WigeonreachError):
    """An attempt did not return a complete response.

    Parameters
    ----------
    code
        Numbered reason.
    outcome
        Whether the target ran the request, as far as known.
    detail
        What happened.
    """

    def __init__(
        self,
        code: ResultCode,
        outcome: Outcome,
        detail: str,
    ) -> None:
        """Store the outcome next to code and detail."""
        super().__init__(code, detail)
        self.outcome = outcome


class WireError(WigeonreachError):
    """A process can't be reached, or its message can't be decoded."""


class StateError(WigeonreachError):
    """The durable state can't serve a read or a command."""


class PlatformError(WigeonreachError):
    """The platform refused a request, or its response is invalid."""


class ChartError(WigeonreachError):
    """A state chart has no transition for an event."""
