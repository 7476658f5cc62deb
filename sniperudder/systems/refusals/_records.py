"""Records of work that ended without a whole answer."""

from sniperudder import effects
from sniperudder import inputs
from sniperudder import outcomes
from sniperudder import tables


def note_arrival(T, inp):
    """Remember whose work an arrival is until it has its outcome.

    Parameters
    ----------
    T : Tables
    inp : RequestArrived or OrderArrived
        Any other input is left alone.

    Notes
    -----
    Constant time. The table holds as many entries as there is work
    without an outcome.
    """
    match inp:
        case inputs.RequestArrived():
            T.arrivals[inp.request] = inp
        case inputs.OrderArrived():
            T.arrivals[inp.order] = inp


def record_outcomes(T, result, now):
    """Keep outcomes other than whole answers in the bounded ring.

    Parameters
    ----------
    T : Tables
    result : list of effect
    now : float
        Seconds.

    Notes
    -----
    Linear in the effects; the oldest record gives way.
    """
    for effect in result:
        if type(effect) is not effects.Finish:
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
