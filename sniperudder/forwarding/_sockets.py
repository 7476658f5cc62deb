"""TCP socket options."""

import socket

# Idle time before the kernel sends the first keepalive probe, interval of
# the probes in seconds, and number of unanswered probes that close the
# connection. A peer that does not respond is thus detected within 3 s. This
# is also the time after which the users' requirements apply again to a machine
# that was unreachable.
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_COUNT = 2

# Maximum time that sent data may remain unacknowledged, ms.
_USER_TIMEOUT_MS = 3000


def enable_keepalive(sock):
    """Have the kernel close a connection whose peer stops responding.

    Also disables Nagle's algorithm.

    Parameters
    ----------
    sock : socket.socket
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, _KEEPALIVE_COUNT),
        (socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
        (socket.TCP_NODELAY, 1),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
