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
        What happened and what is allowed, for a person.
    """

    def __init__(self, code: ResultCode, detail: str) -> None:
        """Keep the code beside the message."""
        super().__init__(code, detail)
        self.code = code
        self.detail = detail

    def __str__(self) -> str:
        """Show the number first, so that it can be looked up."""
        return f'{int(self.code)} {self.code.name.lower()}: {self.detail}'


class SettingError(WigeonreachError):
    """A setting is missing or out of range."""


class FleetTextError(WigeonreachError):
    """An operator's text is refused as a whole."""


class RequestRefusedError(WigeonreachError):
    """A caller's request truly did not run.

    Parameters
    ----------
    code
        Numbered reason.
    detail
        What happened and what is allowed.
    return_after_s
        When it makes sense to ask again, in whole seconds, if that is known.
    """

    def __init__(
        self,
        code: ResultCode,
        detail: str,
        return_after_s: int | None = None,
    ) -> None:
        """Keep the time beside code and detail."""
        super().__init__(code, detail)
        self.return_after_s = return_after_s


class AttemptFailedError(WigeonreachError):
    """An attempt gave no whole answer.

    Parameters
    ----------
    code
        Numbered reason.
    outcome
        Whether the target ran the request, as far as is known.
    detail
        What happened.
    """

    def __init__(
        self,
        code: ResultCode,
        outcome: Outcome,
        detail: str,
    ) -> None:
        """Keep the outcome beside code and detail."""
        super().__init__(code, detail)
        self.outcome = outcome


class WireError(WigeonreachError):
    """A message from another process can't be understood."""


class StateError(WigeonreachError):
    """The durable state can't do what it was asked."""


class PlatformError(WigeonreachError):
    """The platform refused, or its answer can't be trusted."""


class ChartError(WigeonreachError):
    """A state chart has no transition for what happened."""
