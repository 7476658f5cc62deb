"""What an instance may use for its callers, by the limits of its machine."""

import dataclasses

__all__ = ['CallerCapacity', 'create_capacity']

_BYTES_PER_MB = 1_000_000

# Share of the instance's memory that is used for callers. The rest is for the
# program, its tables and connections, and copies of a single body.
_MEMORY_SHARE = 0.4

# Memory that is used for callers if that of the instance is unknown.
_DEFAULT_MEMORY_BYTES = 128 * _BYTES_PER_MB


@dataclasses.dataclass(frozen=True, slots=True)
class CallerCapacity:
    """Limits for all callers of an instance together.

    Attributes
    ----------
    memory_bytes : int
        Memory that is used for them.
    """

    memory_bytes: int = _DEFAULT_MEMORY_BYTES


def create_capacity(memory_mb=0.0, caller_memory_mb=0.0):
    """Return the limits of an instance.

    Parameters
    ----------
    memory_mb : float
        Memory of the instance, MB; 0 if unknown.
    caller_memory_mb : float
        Memory to use for callers, MB; 0 for a share of the instance's.

    Returns
    -------
    CallerCapacity

    Examples
    --------
    >>> create_capacity(200.0).memory_bytes
    80000000
    >>> create_capacity(200.0, caller_memory_mb=50.0).memory_bytes
    50000000
    """
    memory_mb = caller_memory_mb or memory_mb * _MEMORY_SHARE
    return CallerCapacity(
        int(memory_mb * _BYTES_PER_MB) or _DEFAULT_MEMORY_BYTES
    )
