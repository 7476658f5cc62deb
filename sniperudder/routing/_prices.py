"""Prices of running a part of a request at an endpoint.

Pattern: prompts and answers of unequal size meet endpoints of unequal
speed in several data centres. A price is the time that a part takes at
an endpoint's present load, with the load weighed twice (the request slows
the others down as well), and that of transfers between data centres,
whose pipes all requests share.
"""

import dataclasses
import math

# Delay of each token between data centres, ms (the sites' one-way time).
_CROSSING_DELAY_MS = 0.5

# How much of a pipe's time a request may cost beyond its own transfer.
_PIPE_WEIGHT = 30.0

# Weight of the delay that a request causes to those beside it.
_LOAD_WEIGHT = 2.0

# Largest share of the KV cache counted in the price; above it the price
# stays finite, so that a full fleet still has an order of preference.
_MAX_FILL = 0.95

_BITS_PER_MEGABIT = 1e6
_MS_PER_S = 1000.0
_BYTES_PER_MB = 1e6
_TOKENS_PER_K = 1000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Size of a generation, tokens."""

    prompt: float
    answer: float

    @property
    def total(self):
        """All tokens, those to read and those to make."""
        return self.prompt + self.answer


def get_room(endpoint, engine):
    """Return the KV cache of an endpoint, tokens x layers."""
    card = engine.cards.get(endpoint.card)
    if card is None or endpoint.layers is None or not engine.kv_token_bytes:
        return math.inf
    used_mb = len(endpoint.layers) * engine.layer_mb
    left = max(card.memory_mb - used_mb, 0.0) * _BYTES_PER_MB
    return left / (engine.kv_token_bytes / engine.layers)


def price_layer(endpoint, load, engine, demand):
    """Return the price of one layer at an endpoint, ms.

    Parameters
    ----------
    endpoint : sniperudder.fleet.Endpoint
    load : sniperudder.digests.Load
        What all instances have in flight there.
    engine : sniperudder.fleet.Engine
    demand : Demand

    Returns
    -------
    float
    """
    card = engine.cards.get(endpoint.card)
    step_factor = card.step_factor if card else 1.0
    read_factor = card.read_factor if card else 1.0
    step_ms = _get_step_ms(engine, demand, load.requests * _LOAD_WEIGHT)
    read_ms = demand.prompt / max(engine.read_per_ms, 1e-9)
    read_ms *= 1 + load.requests * _LOAD_WEIGHT / max(demand.answer, 1.0)
    whole_ms = step_factor * step_ms * demand.answer + read_factor * read_ms
    room = get_room(endpoint, engine)
    fill = min(load.token_layers / max(room, 1.0), _MAX_FILL)
    return whole_ms / engine.layers / (1.0 - fill)


def get_stage_ms(part, load, engine, demand):
    """Return the time that a token is expected to take at a stage, ms.

    Parameters
    ----------
    part : sniperudder.fleet.Part
    load, engine, demand
        See `price_layer`.

    Returns
    -------
    float
    """
    card = engine.cards.get(part.endpoint.card)
    step_factor = card.step_factor if card else 1.0
    share = len(part.layers) / engine.layers
    step_ms = _get_step_ms(engine, demand, load.requests)
    return max(step_factor * step_ms * share, 1e-9)


def price_crossing(engine, demand, fill):
    """Return the price of passing between two data centres once, ms.

    Parameters
    ----------
    engine : sniperudder.fleet.Engine
    demand : Demand
    fill : float
        Share of the pipe between them that is in use.

    Returns
    -------
    float
    """
    tokens = demand.prompt + demand.answer
    price = demand.answer * _CROSSING_DELAY_MS
    if engine.pipe_mbps:
        ms = tokens * get_token_ms(engine)
        price += ms * _PIPE_WEIGHT / (1.0 - min(fill, _MAX_FILL))
    return price


def get_token_ms(engine):
    """Return the time that one token takes of a pipe, ms."""
    if not engine.pipe_mbps:
        return 0.0
    bits = engine.activation_bytes * 8
    return bits / (engine.pipe_mbps * _BITS_PER_MEGABIT) * _MS_PER_S


def has_room(endpoint, load, engine, tokens, span, limit):
    """Tell whether a further request fits an endpoint's KV cache."""
    if endpoint.layers is None:
        return False
    if limit == math.inf:
        return True
    start = max(endpoint.layers.start, span[0])
    end = min(endpoint.layers.end, span[1])
    asked = tokens * max(end - start, 0)
    room = get_room(endpoint, engine)
    return load.token_layers + asked <= room * limit


def _get_step_ms(engine, demand, beside):
    """Return the time of a step over all layers with requests beside."""
    context = demand.total / _TOKENS_PER_K
    beside_ms = engine.per_request_ms + engine.context_per_k_ms * context
    return engine.step_ms + beside_ms * beside
