"""Costs of running a stage of a request at an endpoint.

Requests differ in their numbers of prompt and output tokens, and endpoints
in their speed and data centre. The cost of a stage is the time that it
takes under the endpoint's present load. The load counts twice, because the
request also slows down the requests that run there already. Transfers
between data centres have a cost too, since all requests share the links.
"""

import dataclasses
import math

# One-way latency between data centres, paid for each token, ms.
_CROSSING_LATENCY_MS = 0.5

# Factor on a request's transfer time between data centres, to account for the
# delay of other requests on the link.
_LINK_WEIGHT = 30.0

# Weight of the delay that a request causes to those in the same batch.
_LOAD_WEIGHT = 2.0

# Largest utilisation that enters a cost. Costs stay finite above it, so
# that endpoints of a full fleet can still be compared.
_MAX_UTILISATION = 0.95

_BITS_PER_MEGABIT = 1e6
_MS_PER_S = 1000.0
_BYTES_PER_MB = 1e6
_TOKENS_PER_K = 1000.0


@dataclasses.dataclass(frozen=True, slots=True)
class RequestSize:
    """Numbers of tokens of a request.

    Attributes
    ----------
    prompt_tokens, output_tokens : float
    """

    prompt_tokens: float
    output_tokens: float

    @property
    def total(self):
        """Prompt and output tokens together."""
        return self.prompt_tokens + self.output_tokens


def get_kv_capacity(endpoint, engine):
    """Return the size of an endpoint's KV cache, tokens x layers."""
    accelerator = engine.accelerators.get(endpoint.accelerator)
    if (
        accelerator is None
        or endpoint.layers is None
        or not engine.kv_token_bytes
    ):
        return math.inf
    layers_mb = len(endpoint.layers) * engine.layer_mb
    cache_bytes = max(accelerator.memory_mb - layers_mb, 0.0) * _BYTES_PER_MB
    return cache_bytes / (engine.kv_token_bytes / engine.layer_count)


def compute_layer_cost(endpoint, load, engine, request_size):
    """Return the cost of running one layer at an endpoint, ms.

    Parameters
    ----------
    endpoint : sniperudder.fleet.Endpoint
    load : sniperudder.digests.Load
        Requests of all instances in flight at the endpoint.
    engine : sniperudder.fleet.EngineProfile
    request_size : RequestSize

    Returns
    -------
    float
    """
    accelerator = engine.accelerators.get(endpoint.accelerator)
    step_factor = accelerator.step_factor if accelerator else 1.0
    prefill_factor = accelerator.prefill_factor if accelerator else 1.0
    step_ms = _get_step_ms(engine, request_size, load.requests * _LOAD_WEIGHT)
    prefill_ms = request_size.prompt_tokens / max(
        engine.prefill_tokens_per_ms, 1e-9
    )
    prefill_ms *= 1 + load.requests * _LOAD_WEIGHT / max(
        request_size.output_tokens, 1.0
    )
    total_ms = (
        step_factor * step_ms * request_size.output_tokens
        + prefill_factor * prefill_ms
    )
    capacity = get_kv_capacity(endpoint, engine)
    utilisation = min(load.token_layers / max(capacity, 1.0), _MAX_UTILISATION)
    return total_ms / engine.layer_count / (1.0 - utilisation)


def estimate_stage_ms(stage, load, engine, request_size):
    """Return the expected time of a decoding step at a stage, ms.

    Parameters
    ----------
    stage : sniperudder.fleet.Stage
    load, engine, request_size
        See `compute_layer_cost`.

    Returns
    -------
    float
    """
    accelerator = engine.accelerators.get(stage.endpoint.accelerator)
    step_factor = accelerator.step_factor if accelerator else 1.0
    share = len(stage.layers) / engine.layer_count
    step_ms = _get_step_ms(engine, request_size, load.requests)
    return max(step_factor * step_ms * share, 1e-9)


def compute_crossing_cost(engine, request_size, utilisation):
    """Return the cost of one crossing between two data centres, ms.

    Parameters
    ----------
    engine : sniperudder.fleet.EngineProfile
    request_size : RequestSize
    utilisation : float
        Share of the bandwidth of the link between them that is in use.

    Returns
    -------
    float
    """
    tokens = request_size.prompt_tokens + request_size.output_tokens
    cost = request_size.output_tokens * _CROSSING_LATENCY_MS
    if engine.link_mbps:
        ms = tokens * get_transfer_ms(engine)
        cost += ms * _LINK_WEIGHT / (1.0 - min(utilisation, _MAX_UTILISATION))
    return cost


def get_transfer_ms(engine):
    """Return the time to transfer one token between data centres, ms."""
    if not engine.link_mbps:
        return 0.0
    bits = engine.activation_bytes * 8
    return bits / (engine.link_mbps * _BITS_PER_MEGABIT) * _MS_PER_S


def fits_kv_cache(endpoint, load, engine, tokens, span, limit):
    """Return whether another request fits in an endpoint's KV cache.

    Parameters
    ----------
    endpoint, load, engine
        See `compute_layer_cost`.
    tokens : float
        Prompt and output tokens of the request.
    span : (int, int)
        Layers to run; the end is exclusive.
    limit : float
        Largest share of the KV cache in use; infinite for no limit.

    Returns
    -------
    bool
    """
    if endpoint.layers is None:
        return False
    if limit == math.inf:
        return True
    start = max(endpoint.layers.start, span[0])
    end = min(endpoint.layers.end, span[1])
    required = tokens * max(end - start, 0)
    capacity = get_kv_capacity(endpoint, engine)
    return load.token_layers + required <= capacity * limit


def _get_step_ms(engine, request_size, batched):
    """Return the time of a decoding step over all layers, ms.

    Parameters
    ----------
    batched : float
        Number of requests in the same batch.
    """
    context = request_size.total / _TOKENS_PER_K
    request_ms = engine.per_request_ms + engine.context_per_k_ms * context
    return engine.step_ms + request_ms * batched
