"""Early checks of streams that have stopped.

When a pipeline stage dies, each stream through it stops. A stream is timely
only if it goes on at another stage within the longest gap that its route
allows. Its stages are therefore asked for a sign of life while enough of that
time is left to reroute it.
"""

import enum

__all__ = ['Sign', 'choose_suspects', 'get_early_delay_s', 'judge_signs']

# Share of the longest gap of a timely stream after which its stages are
# checked. The new stages have to read the prompt again and make a whole
# event, which takes about a third of that gap.
_DELAY_SHARE = 0.45

# Shortest delay until a check, seconds. Sound streams under load often pause
# for less, and each check costs calls to the stages. Routes with a shorter
# share have no early checks.
_MIN_DELAY_S = 0.1

# Delay until the usual check, seconds.
_USUAL_DELAY_S = 0.4

# Share of the delay within which progress shows that a stage runs. Streams
# through one stage do not make progress at the same moment.
_PROGRESS_SHARE = 0.6


class Sign(enum.Enum):
    """What a call to a stage shows.

    ALIVE: it answered.

    GONE: nothing, or another endpoint, serves at its address.

    SILENT: no answer came in time.
    """

    ALIVE = 'alive'
    GONE = 'gone'
    SILENT = 'silent'


def get_early_delay_s(target_s):
    """Return the time without an event after which stages are checked early.

    Parameters
    ----------
    target_s : float
        Longest gap of a timely stream, or its time to the first event,
        seconds; 0 if the route has no target.

    Returns
    -------
    float or None
        Seconds; None if the target leaves no time for an early check, or so
        much that the usual one comes in time.

    Examples
    --------
    >>> [get_early_delay_s(target_s) for target_s in (0.25, 0.2, 0.0, 1.0)]
    [0.1125, None, None, None]
    """
    delay_s = target_s * _DELAY_SHARE
    return delay_s if _MIN_DELAY_S <= delay_s < _USUAL_DELAY_S else None


def choose_suspects(progress_ages_s, delay_s):
    """Return the stages that may have stopped a stream.

    Parameters
    ----------
    progress_ages_s : dict
        Time since any stream made progress through a stage, by address,
        seconds.
    delay_s : float
        Time without an event after which the stages are checked, seconds.

    Returns
    -------
    set
        Addresses. Another stream that has made progress lately shows that a
        stage runs.

    Examples
    --------
    >>> sorted(choose_suspects({'a': 0.01, 'b': 0.1, 'c': 5.0}, 0.1))
    ['b', 'c']
    """
    return {
        address
        for address, age_s in progress_ages_s.items()
        if age_s >= delay_s * _PROGRESS_SHARE
    }


def judge_signs(signs, is_path_proven):
    """Return the stages that have failed.

    Parameters
    ----------
    signs : dict of str to Sign
        By address of the stage.
    is_path_proven : bool
        Whether other stages of the chain have made progress meanwhile.

    Returns
    -------
    set of str
        Empty if all stages are silent: this instance may be cut off, or may
        have been suspended.

    Examples
    --------
    >>> judge_signs({'a': Sign.ALIVE, 'b': Sign.SILENT}, False)
    {'b'}
    >>> judge_signs({'a': Sign.SILENT, 'b': Sign.SILENT}, False)
    set()
    """
    gone = {a for a, sign in signs.items() if sign is Sign.GONE}
    silent = {a for a, sign in signs.items() if sign is Sign.SILENT}
    if silent and (is_path_proven or len(silent) < len(signs)):
        return gone | silent
    return gone
