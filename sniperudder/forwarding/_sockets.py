"""Options and state of TCP sockets."""

import fcntl
import select
import socket
import struct
import termios

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

# Offset of tcpi_unacked in struct tcp_info of Linux, and the size up to there.
# Of a listening socket, it is the number of queued connections.
_TCP_INFO_UNACKED = 24
_TCP_INFO_SIZE = 28


def create_listener(host, port, receive_buffer_bytes, backlog):
    """Return a listening socket.

    Parameters
    ----------
    host : str
        IPv4 address.
    port : int
    receive_buffer_bytes : int
        Receive buffer of the connections that it accepts. The kernel reserves
        twice as much for it, and by default grows it to several MB.
    backlog : int
        Number of connections that may wait to be accepted.

    Returns
    -------
    socket.socket

    Raises
    ------
    OSError
        If the address cannot be used.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes
        )
        sock.bind((host, port))
        sock.listen(backlog)
        sock.setblocking(False)
    except OSError:
        sock.close()
        raise
    return sock


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


def count_unread_bytes(sock):
    """Return the number of bytes that arrived and were not read.

    Parameters
    ----------
    sock : socket.socket

    Returns
    -------
    int
        0 if the socket is closed.
    """
    buffer = struct.pack('i', 0)
    try:
        buffer = fcntl.ioctl(sock.fileno(), termios.FIONREAD, buffer)
    except (OSError, ValueError):
        return 0
    return struct.unpack('i', buffer)[0]


def is_readable(sock):
    """Return whether bytes or the end of a connection have arrived.

    Parameters
    ----------
    sock : socket.socket
    """
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def has_free_descriptor(sock):
    """Return whether the process may open another descriptor.

    Parameters
    ----------
    sock : socket.socket
        An open socket.
    """
    try:
        sock.dup().close()
    except OSError:
        return False
    return True


def has_hung_up(sock):
    """Return whether the peer has closed its sending side, or reset it.

    Also holds while bytes that came before are unread.

    Parameters
    ----------
    sock : socket.socket
    """
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))


def count_queued_connections(sock):
    """Return the number of connections that wait to be accepted.

    Parameters
    ----------
    sock : socket.socket
        A listening socket.

    Returns
    -------
    int
        0 if the system does not tell.
    """
    try:
        info = sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_SIZE
        )
    except OSError:
        return 0
    if len(info) < _TCP_INFO_SIZE:
        return 0
    return struct.unpack_from('I', info, _TCP_INFO_UNACKED)[0]


def accept_queued(sock):
    """Accept the connections that wait to be accepted.

    Parameters
    ----------
    sock : socket.socket
        A listening socket that does not block.

    Returns
    -------
    list of socket.socket
    """
    accepted = []
    try:
        listener = sock.dup()
    except OSError:
        # There are no descriptors for them.
        return accepted
    with listener:
        while True:
            try:
                connection, _ = listener.accept()
            except ConnectionAbortedError:
                continue
            except OSError:
                # None are left, or there are no descriptors for them.
                return accepted
            connection.setblocking(False)
            accepted.append(connection)
