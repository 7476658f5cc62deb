"""Endpoints as listed by the platform, and their state."""

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

    def covers(self, layers):
        """Return whether the range includes all layers of another one."""
        return self.start <= layers.start and layers.end <= self.end


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """One run of an endpoint.

    Its ``run_id`` is the pair (id, born_ms): id and start time; identifies
    one run of an endpoint.

    Attributes
    ----------
    id : str
    service : str
    address : str
        ``host:port``.
    data_centre : str
    slots : int
        Largest number of requests that it runs concurrently.
    leaving : bool
        Whether it accepts no new requests.
    accelerator : str
        Name of its kind of accelerator, or an empty string.
    layers : Layers or None
        Layers that it holds.
    born_ms : int
        Wall-clock time of its start, ms; distinguishes runs with the same id.
    report_number : int
        Number of the liveness report from which the entry is; rises within a
        run. Not compared.
    """

    id: str
    service: str
    address: str
    data_centre: str
    slots: int
    leaving: bool
    accelerator: str
    layers: Layers | None
    born_ms: int
    report_number: int = dataclasses.field(default=0, compare=False)


@dataclasses.dataclass(slots=True)
class EndpointState:
    """State of one run of an endpoint, as this instance knows it.

    Attributes
    ----------
    requests : int
        Requests of this instance in flight at the endpoint.
    connections : int
        Connections to it that carry a request of this instance.
    token_layers : float
        KV cache reserved for these requests, tokens x layers.
    failures : int
        Failures since the last success.
    refusals : int
        Refusals since its last progress.
    refused_at : float
        Time of its last refusal, seconds.
    avoid_until : float
        Time until which other endpoints are preferred, seconds.
    dead_until : float
        Time until which other instances are sent fault notices, seconds.
    progress_at : float
        Time at which it last responded or passed on a token, seconds.
    """

    requests: int = 0
    connections: int = 0
    token_layers: float = 0.0
    failures: int = 0
    refusals: int = 0
    refused_at: float = 0.0
    avoid_until: float = 0.0
    dead_until: float = 0.0
    progress_at: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Stage:
    """A stage of a chain.

    Attributes
    ----------
    endpoint : Endpoint
    layers : Layers or None
        Layers that the endpoint runs; None for a plain service.
    """

    endpoint: Endpoint
    layers: Layers | None
