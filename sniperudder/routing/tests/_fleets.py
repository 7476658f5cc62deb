"""Endpoints and tables for the tests of routing and placement."""

import random

from sniperudder import digests
from sniperudder import fleet

ACCELERATORS = {
    'fast': fleet.Accelerator('fast', 72_000.0, 2.4, 3.2),
    'slow': fleet.Accelerator('slow', 21_600.0, 16.0, 8.2),
}

ENGINE = fleet.EngineProfile(
    layer_count=80,
    layer_mb=100.0,
    kv_token_bytes=1_836_000.0,
    step_ms=1.02,
    per_request_ms=0.01428,
    context_per_k_ms=0.01912,
    prefill_tokens_per_ms=105.0,
    mean_prompt_tokens=774.0,
    mean_output_tokens=203.0,
    load_s=14.0,
    activation_bytes=91_800.0,
    link_mbps=18_000.0,
    accelerators=ACCELERATORS,
)


def create_endpoint(
    name, start, end, data_centre='north', accelerator='fast', **fields
):
    """Return an endpoint that holds a range of layers."""
    values = {
        'service': 'llm',
        'slots': 96,
        'leaving': False,
        'born_ms': 1,
        **fields,
    }
    return fleet.Endpoint(
        id=name,
        address=f'{name}:1',
        data_centre=data_centre,
        accelerator=accelerator,
        layers=fleet.Layers(start, end),
        **values,
    )


def create_tables(*endpoints):
    """Return tables in which the given endpoints are listed."""
    return fleet.FleetTables(endpoints={e.id: e for e in endpoints})


def record_peer_load(T, endpoint, requests, tokens):
    """Record a digest of a peer that has requests at an endpoint."""
    load = digests.Load(requests, tokens * len(endpoint.layers))
    digest = digests.Digest('peer', 1, 1, {endpoint.id: load}, ())
    T.peers.record_digest(digest, ('h', 1), 0.0)


def create_rng():
    """Return a random number generator with a fixed seed."""
    return random.Random(7)


def list_ids(stages):
    """Return the ids of the endpoints of a chain."""
    return [stage.endpoint.id for stage in stages]
