"""Outcome types of requests."""

import dataclasses

from sniperudder.outcomes import _codes


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The request was answered completely.

    Attributes
    ----------
    code : Code
        ``ANSWERED`` or ``STORED_RESULT``.
    body : str or None
        Result of a service call; None if tokens were streamed.
    status : int
        HTTP status returned by the service.
    """

    code: _codes.Code = _codes.Code.ANSWERED
    body: str | None = None
    status: int = 200


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The request was not run.

    Attributes
    ----------
    code : Code
        A code of class *not run*.
    detail : str
        Human-readable reason, one sentence.
    retry_after_s : float or None
        Time after which a retry may succeed, seconds.
    """

    code: _codes.Code
    detail: str = ''
    retry_after_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The request was run at least in part, without a complete answer.

    Attributes
    ----------
    code : Code
        A code of class *ran* other than ``ANSWERED``.
    detail : str
    """

    code: _codes.Code
    detail: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class InDoubt:
    """It is unknown whether the request was run.

    Attributes
    ----------
    code : Code
        A code of class *in doubt*.
    detail : str
    """

    code: _codes.Code
    detail: str = ''


Outcome = Answered | Refused | Failed | InDoubt
