"""Records of work that ended without a complete answer."""

from sniperudder import effects
from sniperudder import inputs
from sniperudder import outcomes
from sniperudder import tables


def record_arrival(T, inp):
    """Store an arrival until its work has an outcome.

    Parameters
    ----------
    T : Tables
    inp : RequestArrived or OrderArrived
        Other inputs are ignored.

    Notes
    -----
    O(1). The table has one record per piece of work without an outcome.
    """
    match inp:
        case inputs.RequestArrived():
            T.arrivals[inp.request] = inp
        case inputs.OrderArrived():
            T.arrivals[inp.order] = inp


def record_outcomes(T, result, now):
    """Append outcomes other than complete answers to the ring buffer.

    Parameters
    ----------
    T : Tables
    result : list of effect
    now : float
        Seconds.

    Notes
    -----
    O(n) in the number of effects. A full ring buffer drops its oldest
    record.
    """
    for effect in result:
        if type(effect) is not effects.SendOutcome:
            continue
        arrival = T.arrivals.pop(effect.request, None)
        answered = isinstance(effect.outcome, outcomes.Answered)
        if arrival is not None and not answered:
            T.refusals.append(_create_refusal(arrival, effect, now))


def _create_refusal(arrival, effect, now):
    if isinstance(arrival, inputs.RequestArrived):
        target = arrival.model
    else:
        target = arrival.service
    return tables.Refusal(
        name=effect.request,
        organisation=arrival.organisation,
        rank=arrival.rank,
        target=target,
        code=int(effect.outcome.code),
        detail=effect.outcome.detail,
        at=now,
    )
