"""Client of the peer interface of other instances."""

import collections
import logging
import socket
import threading
import time

from sniperudder.peers import _codec
from sniperudder.peers import _slot_messages
from sniperudder.peers.gen.wire import Peer
from thrift.protocol import TBinaryProtocol
from thrift import Thrift
from thrift.transport import TSocket
from thrift.transport import TTransport

_MAX_FRAME_BYTES = 4 << 20
_MAX_IDLE_CONNECTIONS = 32
_CALL_ERRORS = (Thrift.TException, OSError, EOFError)


class _Connection:
    """A connection to one peer; carries one call at a time."""

    def __init__(self, address):
        host, _, port = address.rpartition(':')
        self._socket = TSocket.TSocket(host, int(port))
        self._framed = TTransport.TFramedTransport(
            self._socket, _MAX_FRAME_BYTES
        )
        protocol = TBinaryProtocol.TBinaryProtocolAccelerated(self._framed)
        self.stub = Peer.Client(protocol)

    def set_timeout(self, timeout_s):
        self._socket.setTimeout(1000 * timeout_s)

    def open(self):
        self._framed.open()
        handle = self._socket.handle
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def close(self):
        self._framed.close()


class PeerClient:
    """Thread-safe client that keeps one idle connection per peer."""

    def __init__(self, peer_key):
        self._peer_key = peer_key
        self._idle = collections.OrderedDict()
        self._lock = threading.Lock()

    def exchange(self, address, beat, timeout_s):
        """Send a heartbeat.

        Parameters
        ----------
        address : str
            ``host:port`` of the peer.
        beat : sniperudder.inputs.Heartbeat
        timeout_s : float
            Timeout of the call, seconds.

        Returns
        -------
        sniperudder.inputs.Heartbeat or None
            The heartbeat of the peer, created after it received the
            call; None if no response arrived.
        """
        message = _codec.encode_heartbeat(beat)

        def call(stub):
            return stub.exchange(self._peer_key, message)

        answer = self._call(address, call, timeout_s)
        return None if answer is None else _codec.decode_heartbeat(answer)

    def tell(self, address, sender, messages, timeout_s):
        """Send slot messages.

        Parameters
        ----------
        address : str
            ``host:port`` of the peer.
        sender : str
            Name of this instance.
        messages : list of record of sniperudder.messages
        timeout_s : float
            Timeout of the call, seconds.

        Returns
        -------
        bool
            True if the peer confirmed receipt; False if it is unknown
            whether the messages arrived.
        """
        posts = [
            _slot_messages.encode_message(message) for message in messages
        ]

        def call(stub):
            stub.tell(self._peer_key, sender, posts)
            return True

        return bool(self._call(address, call, timeout_s))

    def ask(self, address, query_text, timeout_s):
        """Run a query on a peer.

        Return its partial result as JSON text, or None if no valid
        response arrived.
        """

        def call(stub):
            return stub.ask(self._peer_key, query_text, timeout_s)

        return self._call(address, call, timeout_s)

    def close(self):
        """Close all idle connections."""
        with self._lock:
            idle, self._idle = self._idle, collections.OrderedDict()
        for connection in idle.values():
            connection.close()

    def _call(self, address, call, timeout_s):
        """Make a call; retry on a new connection if a reused one fails."""
        deadline = time.monotonic() + timeout_s
        reused = self._pop_idle(address)
        if reused is not None:
            done, answer = self._call_once(reused, address, call, timeout_s)
            if done:
                return answer
        remaining_s = deadline - time.monotonic()
        if remaining_s <= 0:
            return None
        try:
            connection = _Connection(address)
            connection.set_timeout(remaining_s)
            connection.open()
        except (*_CALL_ERRORS, ValueError):
            return None
        _, answer = self._call_once(connection, address, call, remaining_s)
        return answer

    def _call_once(self, connection, address, call, timeout_s):
        try:
            connection.set_timeout(timeout_s)
            answer = call(connection.stub)
        except _CALL_ERRORS:
            connection.close()
            return False, None
        self._store_idle(address, connection)
        return True, answer

    def _pop_idle(self, address):
        with self._lock:
            return self._idle.pop(address, None)

    def _store_idle(self, address, connection):
        with self._lock:
            replaced = [self._idle.pop(address, None)]
            self._idle[address] = connection
            if len(self._idle) > _MAX_IDLE_CONNECTIONS:
                replaced.append(self._idle.popitem(last=False)[1])
        for old in replaced:
            if old is not None:
                old.close()


def create_peer_client(peer_key=''):
    """Return a client of the peer interface.

    Parameters
    ----------
    peer_key : str
        Key that the client sends with each call.

    Returns
    -------
    PeerClient
    """
    logging.getLogger('thrift').setLevel(logging.CRITICAL)
    return PeerClient(peer_key)
