"""Effects on model engines."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """One forward pass of one stream through the layers of one stage.

    Attributes
    ----------
    request : str
    attempt : int
    position : int
        Index of the token that this pass produces, from 0.
    first_layer, end_layer : int
        Layers to run, ``[first_layer, end_layer)``.
    model, version : str
    rank : int
    prefill : bool
        Whether this is the first pass of the attempt: the first stage
        gets the whole text so far, and every stage starts with an
        empty state. An engine refuses any other step of an attempt
        whose state it does not hold.
    payload : str
        Text, token or output of the previous stage.
    last : bool
        Whether this is the last stage, which produces a token.
    deadline_s : float
        Time left for the whole answer, seconds.
    start_by : float or None
        Time by which the engine must have started the attempt, seconds
        on the instance's clock; None if the attempt has started.
    """

    request: str
    attempt: int
    position: int
    first_layer: int
    end_layer: int
    model: str
    version: str
    rank: int
    prefill: bool
    payload: str
    last: bool
    deadline_s: float
    start_by: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class SendStep:
    """Send a step to an endpoint, batched with others if possible."""

    endpoint: str
    step: Step


@dataclasses.dataclass(frozen=True, slots=True)
class CancelStream:
    """Release an endpoint's state of an attempt; no answer is needed."""

    endpoint: str
    request: str
    attempt: int
