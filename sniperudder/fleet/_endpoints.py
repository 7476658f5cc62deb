"""Endpoints as the platform lists them, and what is known of each."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Layers:
    """A range of a model's layers.

    Attributes
    ----------
    start, end : int
        The end is exclusive.
    """

    start: int
    end: int

    def __len__(self):
        return self.end - self.start


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """One run of an endpoint.

    Attributes
    ----------
    id : str
    service : str
    address : str
        ``host:port``.
    data_centre : str
    slots : int
        Requests that it works on at once.
    leaving : bool
        Whether it takes no new work.
    card : str
        Name of its kind of accelerator, or an empty string.
    layers : Layers or None
        What it holds.
    born_ms : int
        Wall time of its start; tells runs of one id apart.
    """

    id: str
    service: str
    address: str
    data_centre: str
    slots: int
    leaving: bool
    card: str
    layers: Layers | None
    born_ms: int


@dataclasses.dataclass(slots=True)
class EndpointState:
    """What this instance knows of one run of an endpoint.

    Attributes
    ----------
    requests : int
        Requests of this instance that it works on.
    channels : int
        Channels to it that carry a request of this instance.
    token_layers : float
        KV cache that these may take, tokens x layers.
    failures : int
        Failures since the last success.
    refusals : int
        Refusals since something went on there.
    refused_at : float
        When it last refused a request, seconds.
    avoid_until : float
        Time until which other endpoints are preferred, seconds.
    dead_until : float
        Time until which other instances are told to avoid it, seconds.
    progress_at : float
        When it last answered or passed a token, seconds.
    """

    requests: int = 0
    channels: int = 0
    token_layers: float = 0.0
    failures: int = 0
    refusals: int = 0
    refused_at: float = 0.0
    avoid_until: float = 0.0
    dead_until: float = 0.0
    progress_at: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """A stage of a chain.

    Attributes
    ----------
    endpoint : Endpoint
    layers : Layers or None
        What the endpoint runs; None for a plain service.
    """

    endpoint: Endpoint
    layers: Layers | None
