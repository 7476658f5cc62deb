"""Counting of events in sliding windows."""


def count_most(times, window_s, start=0.0):
    """Return the largest number of times within a window.

    Parameters
    ----------
    times : iterable of float
        Seconds.
    window_s : float
        Seconds.
    start : float
        Earlier times are left out.

    Returns
    -------
    int

    Examples
    --------
    >>> count_most([0.0, 1.0, 1.5, 9.0], 2.0)
    3
    """
    times = sorted(at for at in times if at >= start)
    return max(
        (
            sum(1 for at in times[first:] if at < begin + window_s)
            for first, begin in enumerate(times)
        ),
        default=0,
    )
