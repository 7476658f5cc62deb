"""Endpoints, models and services."""

import dataclasses
import enum


class EndpointState(enum.Enum):
    """What this instance believes about an endpoint."""

    UP = 'up'
    PROBING = 'probing'
    DOWN = 'down'


@dataclasses.dataclass(slots=True)
class Model:
    """A language model, cut into layers.

    Attributes
    ----------
    name : str
    layers : int
        Number of layers; a chain must cover ``[0, layers)``.
    version : str
        The version that new chains use.
    """

    name: str
    layers: int
    version: str = '1'


@dataclasses.dataclass(slots=True)
class Endpoint:
    """A model engine that holds a range of layers of one model.

    Attributes
    ----------
    name : str
    address : str
        ``host:port``.
    data_centre : str
    accelerator : str
        Kind of accelerator.
    model : str
    version : str
    first_layer, end_layer : int
        The engine holds the layers ``[first_layer, end_layer)``.
    max_streams : int
        Largest number of streams that the engine batches.
    deduplicates : bool
        Whether a repeated step is recognised by the engine.
    checks_fencing : bool
        Whether the engine refuses orders with an old fencing number.
    checks_orders_sender : bool
        Whether the engine checks who gives it orders.
    state : EndpointState
    streams : int
        Streams of this instance that the engine holds at present.
    reported_streams : int
        All streams, by the last load report.
    reported_own : int
        Streams of this instance when the last report came.
    reported_at : float
        Time of the last load report, seconds.
    step_s : float
        Smoothed time of one step, seconds.
    retry_at : float
        When a failed endpoint is tried again, seconds.
    failures : int
        Consecutive failures.
    last_sent_at : float
        When the last new stream was sent, seconds.
    boot : str
        Identifier of the engine's run, from its last load report.
    crashed_boot : str or None
        The run that may have crashed; the endpoint stays down until a
        report tells that it runs.
    failed_at : float
        When it was last set aside, seconds.
    asked_at : float
        When the last load report was asked for, seconds.
    """

    name: str
    address: str
    data_centre: str
    accelerator: str
    model: str
    version: str
    first_layer: int
    end_layer: int
    max_streams: int
    deduplicates: bool = False
    checks_fencing: bool = True
    checks_orders_sender: bool = False
    state: EndpointState = EndpointState.UP
    streams: int = 0
    reported_streams: int = 0
    reported_own: int = 0
    reported_at: float = 0.0
    step_s: float = 0.0
    retry_at: float = 0.0
    failures: int = 0
    last_sent_at: float = 0.0
    boot: str = ''
    crashed_boot: str | None = None
    failed_at: float = float('-inf')
    asked_at: float = float('-inf')


@dataclasses.dataclass(slots=True)
class Service:
    """A plain service beside the model engines.

    Attributes
    ----------
    name : str
    addresses : list of str
        ``host:port`` of each worker.
    repeatable : bool
        Whether a call may be sent twice.
    deduplicates : bool
        Whether the service recognises a repeated idempotency key.
    lookup : bool
        Whether the service can be asked for the result of a key.
    settle_s : float
        Time after which a call that the service has not seen will not
        be run any more, seconds.
    """

    name: str
    addresses: list
    repeatable: bool = False
    deduplicates: bool = False
    lookup: bool = False
    settle_s: float = 10.0
