"""The clock that times and leases are read from."""

import time


def read_clock():
    """Return the time since boot, suspension included, in seconds.

    ``time.monotonic`` stands still while the machine is suspended, so a
    lease would seem to last longer than it does for everybody else.

    Returns
    -------
    float

    Examples
    --------
    >>> read_clock() <= read_clock()
    True
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
