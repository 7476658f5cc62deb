"""Endpoints, models and services."""

import dataclasses
import enum


class EndpointState(enum.Enum):
    """Health of an endpoint as seen by this instance.

    Attributes
    ----------
    UP
        It gets new work.
    PROBING
        It gets a single stream, which tests whether it works again.
    DOWN
        It failed and gets no new work until it is probed.
    """

    UP = 'up'
    PROBING = 'probing'
    DOWN = 'down'


@dataclasses.dataclass(slots=True)
class Model:
    """A language model, partitioned by layers.

    Attributes
    ----------
    name : str
    layers : int
        Number of layers; a chain must cover ``[0, layers)``.
    version : str
        Version used by new chains.
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
        Whether the engine recognises a repeated step.
    checks_fencing : bool
        Whether the engine refuses orders with an outdated fencing
        token.
    checks_orders_sender : bool
        Whether the engine authenticates the sender of orders.
    state : EndpointState
    streams : int
        Streams to which this instance has granted slots.
    reported_streams : int
        Streams of all instances, by the last load report.
    streams_at_report : int
        Value of ``streams`` when the last report arrived.
    reported_at : float
        Time of the last load report, seconds.
    step_s : float
        Smoothed time of one step, seconds.
    retry_at : float
        When a failed endpoint is tried again, seconds.
    failures : int
        Consecutive failures.
    last_sent_at : float
        When this instance last granted a slot on the endpoint or began
        an attempt there, seconds.
    boot : str
        Boot identifier of the engine process, from its last load report;
        changes with each restart.
    crashed_boot : str or None
        Boot identifier of the process that may have crashed; the
        endpoint stays down until a load report shows that it runs.
    failed_at : float
        When it was last marked as down, seconds.
    load_requested_at : float
        When the last load report was requested, seconds.
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
    streams_at_report: int = 0
    reported_at: float = 0.0
    step_s: float = 0.0
    retry_at: float = 0.0
    failures: int = 0
    last_sent_at: float = 0.0
    boot: str = ''
    crashed_boot: str | None = None
    failed_at: float = float('-inf')
    load_requested_at: float = float('-inf')


@dataclasses.dataclass(slots=True)
class Service:
    """A service other than a model engine.

    Attributes
    ----------
    name : str
    addresses : list of str
        ``host:port`` of each worker.
    repeatable : bool
        Whether a call may safely be sent twice.
    deduplicates : bool
        Whether the service recognises a repeated idempotency key.
    lookup : bool
        Whether the result of an idempotency key can be looked up.
    settle_s : float
        Time after which the service no longer starts a call that it has
        not yet received, seconds.
    """

    name: str
    addresses: list
    repeatable: bool = False
    deduplicates: bool = False
    lookup: bool = False
    settle_s: float = 10.0
