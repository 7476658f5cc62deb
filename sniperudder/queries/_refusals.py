"""Records of refused work, for operators."""

from sniperudder.outcomes import Answered
from sniperudder.tables import Refusal


def record_refusal(T, work, outcome, now):
    """Keep an outcome other than a whole answer in the bounded ring.

    Parameters
    ----------
    T : Tables
    work : Request or Order
        Or any record with a name, organisation and rank.
    outcome : Outcome
        A whole answer is not kept.
    now : float
        Seconds on the instance's clock.

    Notes
    -----
    Constant time; the oldest record gives way.
    """
    if isinstance(outcome, Answered):
        return
    target = getattr(work, 'model', None) or getattr(work, 'service', '')
    T.refusals.append(
        Refusal(
            name=work.name,
            organisation=work.organisation,
            rank=work.rank,
            target=target,
            code=int(outcome.code),
            detail=outcome.detail,
            at=now,
        )
    )
