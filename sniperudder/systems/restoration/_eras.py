"""The latest era of the platform, and results of earlier ones."""

import dataclasses

from sniperudder.effects import LogEvent
from sniperudder import inputs
from sniperudder.systems import configuration
from sniperudder.systems import orders


# Era of a platform that was never restored.
_FIRST_ERA = 1

# Time without an answer after which the platform counts as having been away,
# in intervals between polls.
_MAX_GAP = 1.5


def receive_result(T, inp, now):
    """Return the result of a transaction as it counts in the latest era.

    Parameters
    ----------
    T : sniperudder.tables.Tables
    inp : TransactReturned
    now : float
        Seconds.

    Returns
    -------
    result : TransactReturned
        With an unknown outcome if it is of an earlier era: what the
        transaction wrote may be gone.
    effects : list of effects
    """
    outcome = inp.outcome
    if not isinstance(outcome, inputs.Committed | inputs.Conflicted):
        if now < orders.get_settled_at(T):
            # Others may be unable to write their rows again, too.
            T.restored_at = now
        return inp, []
    if outcome.era < T.platform_era:
        return dataclasses.replace(inp, outcome=inputs.Unknown()), []
    return inp, record_era(T, outcome.era, now)


def record_era(T, era, now):
    """Record an answer's era of the platform, and handle a restoration.

    Parameters
    ----------
    T : sniperudder.tables.Tables
    era : int
    now : float
        Seconds.

    Returns
    -------
    list of effects
    """
    seen_before, T.era_seen_at = T.era_seen_at, now
    if era <= T.platform_era:
        is_settling = seen_before < orders.get_settled_at(T)
        if is_settling and now - seen_before > _MAX_GAP * T.policy.poll_s:
            # Nobody could write its rows again meanwhile.
            T.restored_at = now
        return []
    T.platform_era = era
    if era == _FIRST_ERA:
        return []
    # An instance that starts can't tell how long ago that was.
    T.restored_at = now
    orders.handle_restored(T, now)
    configuration.handle_restored(T)
    return [LogEvent('platform:restored', str(era))]
