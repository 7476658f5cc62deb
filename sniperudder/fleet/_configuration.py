"""Configuration, as written by operators."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A service that receives a share of a route's requests.

    Attributes
    ----------
    service : str
    weight : float
        Relative to the other targets of the route.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Handling of the requests to one host and path prefix.

    Attributes
    ----------
    name, host, prefix : str
    targets : tuple of Target
    repeatable : bool
        Whether a request may run more than once.
    streaming : bool
        Whether responses are event streams.
    resumable : bool
        Whether an interrupted stream may resume at another endpoint.
    public : bool
        Whether requests need no API key.
    timeout_s : float
        Longest time from a request's arrival to the end of its response,
        seconds.
    gap_target_s : float
        Longest gap between events of a timely stream, seconds; 0 if
        there is no such target.
    rank : int
        Priority rank; 0 is the most urgent.
    max_attempts : int
        Largest number of sends that an endpoint may have run.
    goal_s : float
        Time to the first event of a timely stream, or to the response,
        seconds; 0 if there is no such target.
    """

    name: str
    host: str
    prefix: str
    targets: tuple
    repeatable: bool
    streaming: bool
    resumable: bool
    public: bool
    timeout_s: float
    gap_target_s: float
    rank: int
    max_attempts: int
    goal_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Accelerator:
    """A kind of accelerator.

    Attributes
    ----------
    name : str
    memory_mb : float
    step_factor : float
        Duration of a decoding step, relative to the times in `EngineProfile`.
    prefill_factor : float
        Duration of prefill, relative to the times in `EngineProfile`.
    """

    name: str
    memory_mb: float
    step_factor: float
    prefill_factor: float


@dataclasses.dataclass(frozen=True, slots=True)
class EngineProfile:
    """Performance and memory figures of a model's engines.

    Attributes
    ----------
    layer_count : int
        Number of the model's layers; 0 if each endpoint holds all.
    layer_mb : float
        Memory that one layer takes, MB.
    kv_token_bytes : float
        KV cache of one token over all layers, bytes.
    step_ms, per_request_ms, context_per_k_ms : float
        Duration of a decoding step over all layers, ms: the constant part,
        the part of each request in the batch, and that of each 1,000
        tokens of its context.
    prefill_tokens_per_ms : float
        Prompt tokens that are prefilled per millisecond over all layers.
    mean_prompt_tokens, mean_output_tokens : float
        Mean numbers of prompt and output tokens per request.
    load_s : float
        Time to load all layers, seconds.
    activation_bytes : float
        Activations of one token that pass between two stages, bytes.
    link_mbps : float
        Bandwidth of the link between two data centres, Mbit/s; shared by
        all transfers.
    accelerators : dict of str to Accelerator
        By name.
    """

    layer_count: int
    layer_mb: float
    kv_token_bytes: float
    step_ms: float
    per_request_ms: float
    context_per_k_ms: float
    prefill_tokens_per_ms: float
    mean_prompt_tokens: float
    mean_output_tokens: float
    load_s: float
    activation_bytes: float
    link_mbps: float
    accelerators: dict


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """The endpoints that serve one model or application.

    Endpoints of a plain service run whole requests; engines hold a range of
    the model's layers each.

    Attributes
    ----------
    name : str
    max_connections : int
        Largest number of connections that an endpoint accepts from all
        instances together; 0 for no limit.
    engine : EngineProfile or None
        None for a plain service.
    """

    name: str
    max_connections: int
    engine: EngineProfile | None


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """A customer.

    Attributes
    ----------
    name : str
    rank : int or None
        Priority rank, which takes precedence over that of a route.
    """

    name: str
    rank: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits on the requests and connections of callers.

    Attributes
    ----------
    max_header_bytes, max_body_bytes : int
    header_timeout_s : float
        Longest time from a request's first byte to the end of its
        headers, seconds.
    idle_timeout_s : float
        Longest time for which a connection may be idle, seconds.
    """

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the operators' configuration.

    Attributes
    ----------
    version : int
    routes : dict of str to tuple of Route
        By host in lower case, longest prefix first.
    services : dict of str to Service
    keys : dict of str to Organisation or None
        By API key; None if callers need no API key.
    limits : Limits
    """

    version: int
    routes: dict
    services: dict
    keys: dict | None
    limits: Limits
