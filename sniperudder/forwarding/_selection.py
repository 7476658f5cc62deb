"""Choice of the endpoints that serve a stream."""

from sniperudder import fleet
from sniperudder.forwarding import _jobs
from sniperudder import outcomes
from sniperudder import routing

__all__ = ['choose_stages', 'classify_shortage']

_Code = outcomes.Code


def choose_stages(forwarder, job, excluded=()):
    """Choose the chain for the next send of a request.

    Parameters
    ----------
    forwarder : Forwarder
    job : Job
    excluded : collection of str
        Ids of endpoints to leave out, beside those that failed the request.

    Returns
    -------
    tuple of sniperudder.fleet.Stage
        Empty if there is no chain.
    """
    endpoints = fleet.list_endpoints(forwarder.T, job.service.name)
    engine = job.service.engine
    failed_ids = job.failed_ids.union(excluded)
    now = forwarder.now()
    data_centre = forwarder.settings.data_centre
    if engine is None or not engine.layer_count:
        endpoint = routing.choose_endpoint(
            forwarder.T,
            endpoints,
            data_centre,
            now,
            forwarder.rng,
            failed_ids,
            forwarder.list_restricted(endpoints),
        )
        return () if endpoint is None else (fleet.Stage(endpoint, None),)
    stages = routing.choose_chain(
        forwarder.T,
        [e for e in endpoints if e.id not in failed_ids],
        engine,
        _jobs.get_request_size(job),
        data_centre,
        now,
        forwarder.rng,
        # A less urgent rank must not prevent the retry of a sent request.
        1.0
        if job.attempts
        else forwarder.load_shedder.get_relative_urgency(job.rank),
        forwarder.list_restricted(endpoints),
    )
    if stages:
        routing.check_chain(stages, engine.layer_count)
    return stages


def classify_shortage(forwarder, job):
    """Return the code for a missing chain.

    SHED if the endpoints hold all layers but lack capacity; NO_ENDPOINT if
    no endpoint holds one of the layers.
    """
    engine = job.service.engine
    endpoints = fleet.list_endpoints(forwarder.T, job.service.name)
    if engine is None or not engine.layer_count:
        return _Code.SHED if endpoints else _Code.NO_ENDPOINT
    covered_up_to = 0
    ranges = [e.layers for e in endpoints if e.layers is not None]
    for layers in sorted(ranges, key=lambda layers: layers.start):
        if layers.start > covered_up_to:
            break
        covered_up_to = max(covered_up_to, layers.end)
    fully_covered = covered_up_to >= engine.layer_count
    return _Code.SHED if fully_covered else _Code.NO_ENDPOINT
