"""Answers and reports of model engines."""

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
        The layers that the engine says it ran.
    output : str
        Token of the last stage, or input of the next stage.
    finished : bool
        Whether the token was the last of the answer.
    elapsed_s : float
        Time from sending to answer, seconds.
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
    """A step brought no result.

    Attributes
    ----------
    endpoint : str
    request : str
    attempt : int
    position : int
    delivery : Delivery
        ``NOT_SENT`` also where the engine answered that it did not
        run the step.
    crashed : bool
        Whether the connection broke while the step was in flight.
    call : str
        Identifier of the call that failed, shared by all its steps.
    detail : str
    refused : bool
        Whether the engine answered that it did not run the step, or
        this instance held it back.
    step : Step or None
        The step, where it may have to be sent again.
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
    """An engine's load, as it stood some time ago.

    Attributes
    ----------
    endpoint : str
    streams : int
        Streams that the engine holds, of all instances.
    boot : str
        Identifier of the engine's run; changes when it restarts.
    sent_at : float
        When the report was asked for, seconds.
    """

    endpoint: str
    streams: int
    boot: str = ''
    sent_at: float = float('-inf')
