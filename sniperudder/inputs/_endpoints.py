"""Results and load reports of model engines."""

import dataclasses
import typing

from sniperudder.inputs import _transports


@dataclasses.dataclass(frozen=True, slots=True)
class StepReturned:
    """An engine ran a step.

    Attributes
    ----------
    endpoint : str
    request : str
    attempt : int
    position : int
    first_layer, end_layer : int
        The engine reports that it ran layers
        ``[first_layer, end_layer)``.
    output : str
        Token if this was the last stage, else input of the next stage.
    finished : bool
        Whether the token was the last of the answer.
    elapsed_s : float
        Time from sending the step to its answer, seconds.
    """

    endpoint: str
    request: str
    attempt: int
    position: int
    first_layer: int
    end_layer: int
    output: str
    finished: bool = False
    elapsed_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class StepFailed:
    """A step gave no result.

    Attributes
    ----------
    endpoint : str
    request : str
    attempt : int
    position : int
    delivery : Delivery
        ``NOT_SENT`` also if the engine answered that it did not run the
        step.
    crashed : bool
        Whether the connection broke while the step was in flight; the
        engine need not have crashed.
    call : str
        Identifier of the call that failed, common to all its steps.
    detail : str
    refused : bool
        Whether the engine refused this one step, or this instance did
        not send it because it could no longer start in time; neither
        counts against the endpoint's health. The delivery is then
        ``NOT_SENT``, or ``LOST`` if the engine refused the step as a
        repetition of one that it has run. A call that failed as a whole
        can be ``NOT_SENT`` without being refused in this sense.
    step : Step or None
        The step, if it may have to be sent again.
    """

    endpoint: str
    request: str
    attempt: int
    position: int
    delivery: _transports.Delivery
    crashed: bool = False
    call: str = ''
    detail: str = ''
    refused: bool = False
    step: typing.Any = None


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReported:
    """An engine reported its load, which may have changed since.

    Attributes
    ----------
    endpoint : str
    streams : int
        Number of streams that the engine holds for all instances.
    boot : str
        Boot identifier of the engine process; changes with each restart.
    sent_at : float
        When the report was requested, seconds.
    """

    endpoint: str
    streams: int
    boot: str = ''
    sent_at: float = float('-inf')
