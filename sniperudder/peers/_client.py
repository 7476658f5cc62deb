"""Calls to the peer interface of other instances."""

import collections
import logging
import socket
import threading
import time

from sniperudder.peers import _codec
from sniperudder.peers import _posts
from sniperudder.peers.gen.wire import Peer
from thrift.protocol import TBinaryProtocol
from thrift import Thrift
from thrift.transport import TSocket
from thrift.transport import TTransport

_MAX_FRAME = 4 << 20
_MAX_IDLE = 32
_FAULTS = (Thrift.TException, OSError, EOFError)


class _Connection:
    """A connection to one peer, for one call at a time."""

    def __init__(self, address):
        host, _, port = address.rpartition(':')
        self._socket = TSocket.TSocket(host, int(port))
        self._framed = TTransport.TFramedTransport(self._socket, _MAX_FRAME)
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
    """Keeps connections to peers; its calls may come from any thread."""

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
        beat : sniperudder.inputs.Beat
        timeout_s : float

        Returns
        -------
        sniperudder.inputs.Beat or None
            The peer's heartbeat, made after the call; None where no
            answer came.
        """
        message = _codec.encode_beat(beat)

        def call(stub):
            return stub.exchange(self._peer_key, message)

        answer = self._call(address, call, timeout_s)
        return None if answer is None else _codec.decode_beat(answer)

    def tell(self, address, sender, messages, timeout_s):
        """Send messages about slots.

        Parameters
        ----------
        address : str
            ``host:port`` of the peer.
        sender : str
            Name of this instance.
        messages : list of record of sniperudder.messages
        timeout_s : float

        Returns
        -------
        bool
            Whether they certainly arrived.
        """
        posts = [_posts.encode_post(message) for message in messages]

        def call(stub):
            stub.tell(self._peer_key, sender, posts)
            return True

        return bool(self._call(address, call, timeout_s))

    def ask(self, address, query_json, timeout_s):
        """Ask a peer; return its answer's text, or None."""

        def call(stub):
            return stub.ask(self._peer_key, query_json, timeout_s)

        return self._call(address, call, timeout_s)

    def close(self):
        """Close all kept connections."""
        with self._lock:
            idle, self._idle = self._idle, collections.OrderedDict()
        for connection in idle.values():
            connection.close()

    def _call(self, address, call, timeout_s):
        """Call once; again if only a kept connection had gone stale."""
        end = time.monotonic() + timeout_s
        kept = self._take(address)
        if kept is not None:
            done, answer = self._try(kept, address, call, timeout_s)
            if done:
                return answer
        left = end - time.monotonic()
        if left <= 0:
            return None
        try:
            fresh = _Connection(address)
            fresh.set_timeout(left)
            fresh.open()
        except (*_FAULTS, ValueError):
            return None
        _, answer = self._try(fresh, address, call, left)
        return answer

    def _try(self, connection, address, call, timeout_s):
        try:
            connection.set_timeout(timeout_s)
            answer = call(connection.stub)
        except _FAULTS:
            connection.close()
            return False, None
        self._keep(address, connection)
        return True, answer

    def _take(self, address):
        with self._lock:
            return self._idle.pop(address, None)

    def _keep(self, address, connection):
        with self._lock:
            stale = [self._idle.pop(address, None)]
            self._idle[address] = connection
            if len(self._idle) > _MAX_IDLE:
                stale.append(self._idle.popitem(last=False)[1])
        for old in stale:
            if old is not None:
                old.close()


def create_peer_client(peer_key=''):
    """Return a client.

    Parameters
    ----------
    peer_key : str
        Key to present.

    Returns
    -------
    PeerClient
    """
    logging.getLogger('thrift').setLevel(logging.CRITICAL)
    return PeerClient(peer_key)
