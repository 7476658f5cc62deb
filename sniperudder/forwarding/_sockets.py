"""Options of TCP sockets."""

import socket

# Silence after which the kernel asks whether the peer still answers, and
# the number of questions without an answer that close a connection. A
# connection that went silent is found within 3 s, the time after which
# the users hold a machine to its bounds again (contact_ms).
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_COUNT = 2

# Longest time that sent data may stay without acknowledgement, ms.
_USER_TIMEOUT_MS = 3000


def enable_keepalive(sock):
    """Have the kernel close a connection whose peer fell silent."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, _KEEPALIVE_COUNT),
        (socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
        (socket.TCP_NODELAY, 1),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
