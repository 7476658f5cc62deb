"""What an instance may use for its callers, by the limits of its machine."""

import dataclasses
import resource

from sniperudder.forwarding import _caller_connections

__all__ = ['CallerCapacity', 'create_capacity']

_BYTES_PER_MB = 1_000_000

# Share of the instance's memory that is used for callers. The rest is for the
# program, its tables and connections, and copies of a single body.
_MEMORY_SHARE = 0.4

# Share of that memory that open connections may take by themselves.
_CONNECTION_SHARE = 0.5

# Descriptors that are kept for files, and the share of the others that callers
# may use. The rest is for endpoints, the store, other instances and metrics.
_FILE_DESCRIPTORS = 200
_DESCRIPTOR_SHARE = 0.5

# Memory that is used for callers if that of the instance is unknown.
_DEFAULT_MEMORY_BYTES = 128 * _BYTES_PER_MB


@dataclasses.dataclass(frozen=True, slots=True)
class CallerCapacity:
    """Limits for all callers of an instance together.

    Attributes
    ----------
    memory_bytes : int
        Memory that is used for them.
    max_connections : int
        Number of connections that are open.
    """

    memory_bytes: int
    max_connections: int


def create_capacity(memory_mb=0.0, caller_memory_mb=0.0, max_descriptors=0):
    """Return the limits of an instance.

    Parameters
    ----------
    memory_mb : float
        Memory of the instance, MB; 0 if unknown.
    caller_memory_mb : float
        Memory to use for callers, MB; 0 for a share of the instance's.
    max_descriptors : int
        Descriptors that the process may have; 0 for the limit of the kernel.

    Returns
    -------
    CallerCapacity

    Examples
    --------
    >>> create_capacity(200.0, max_descriptors=4_100)
    CallerCapacity(memory_bytes=80000000, max_connections=1395)
    >>> create_capacity(2_000.0, max_descriptors=4_100).max_connections
    1950
    >>> create_capacity(200.0, caller_memory_mb=50.0).memory_bytes
    50000000
    """
    memory_mb = caller_memory_mb or memory_mb * _MEMORY_SHARE
    memory_bytes = int(memory_mb * _BYTES_PER_MB) or _DEFAULT_MEMORY_BYTES
    max_connections = (
        memory_bytes * _CONNECTION_SHARE / _caller_connections.CONNECTION_BYTES
    )
    if not max_descriptors:
        max_descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if max_descriptors != resource.RLIM_INFINITY:
        free = max(max_descriptors - _FILE_DESCRIPTORS, max_descriptors // 2)
        max_connections = min(max_connections, free * _DESCRIPTOR_SHARE)
    return CallerCapacity(memory_bytes, max(1, int(max_connections)))
