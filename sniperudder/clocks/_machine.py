"""The machine clock used for durations and leases."""

import time


def read_clock():
    """Return the time since boot in seconds, suspension included.

    ``time.monotonic`` stops while the machine is suspended; with it, a
    lease holder would take its lease to be valid after it has expired
    for all other processes.

    Returns
    -------
    float
        Seconds.

    Examples
    --------
    >>> read_clock() <= read_clock()
    True
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
