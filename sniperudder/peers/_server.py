"""Server of the peer interface of an instance."""

from concurrent import futures
import logging
import select
import threading

from sniperudder.peers import _codec
from sniperudder.peers import _keys
from sniperudder.peers import _slot_messages
from sniperudder.peers.gen.wire import Peer
from sniperudder.peers.gen.wire import ttypes
from thrift.protocol import TBinaryProtocol
from thrift.server import TNonblockingServer
from thrift.transport import TSocket

_LOG = logging.getLogger(__name__)
_MAX_CONCURRENT_QUERIES = 4
_MAX_FRAME_BYTES = 4 << 20
_WORKER_THREADS = 8


class _Handler:
    """Handles the calls of peers."""

    def __init__(self, on_heartbeat, on_messages, on_query, peer_key):
        self._on_heartbeat = on_heartbeat
        self._on_messages = on_messages
        self._on_query = on_query
        self._peer_key = peer_key
        self._query_permits = threading.BoundedSemaphore(
            _MAX_CONCURRENT_QUERIES
        )

    def exchange(self, peer_key, beat):
        _keys.check_key(self._peer_key, peer_key)
        answer = self._on_heartbeat(_codec.decode_heartbeat(beat))
        return _codec.encode_heartbeat(answer)

    def tell(self, peer_key, sender, posts):
        _keys.check_key(self._peer_key, peer_key)
        messages = [_slot_messages.decode_message(post) for post in posts]
        self._on_messages(sender, [m for m in messages if m is not None])

    def ask(self, peer_key, query_text, timeout_s):
        _keys.check_key(self._peer_key, peer_key)
        if not self._query_permits.acquire(blocking=False):
            raise ttypes.Rejected('too many queries at once')
        try:
            return self._on_query(query_text, timeout_s)
        finally:
            self._query_permits.release()


class _TaskPool:
    """Runs calls on a thread pool in place of the queue of thrift.

    The worker threads of thrift terminate when a connection is closed
    while its call is running.
    """

    def __init__(self):
        self._pool = futures.ThreadPoolExecutor(_WORKER_THREADS, 'peer-server')

    def put(self, task):
        self._pool.submit(_run_task, *task)

    def close(self):
        self._pool.shutdown(wait=False, cancel_futures=True)


def _run_task(processor, request, answer, buffer, finish):
    try:
        processor.process(request, answer)
        finish(True, buffer.getvalue())
    except AssertionError:
        # ``finish`` asserts that the connection is still waiting for its
        # call, which fails if the connection was closed in the meantime.
        _LOG.debug('peer connection closed while its call was running')
    except Exception:
        _LOG.exception('peer call failed')
        finish(False, b'')


class PeerServer:
    """Serves calls of peers from its own threads.

    Attributes
    ----------
    address : str
        ``host:port``; holds the bound port once started.
    """

    def __init__(self, address, handler):
        self.address = address
        self._handler = handler
        self._server = None
        self._task_pool = _TaskPool()
        self._thread = None
        self._stopping = False

    def start(self):
        """Bind the address and start serving.

        Raises
        ------
        OSError
            If the address is in use or invalid.
        """
        host, _, port = self.address.rpartition(':')
        listener = TSocket.TServerSocket(host, int(port))
        factory = TBinaryProtocol.TBinaryProtocolAcceleratedFactory()
        self._server = TNonblockingServer.TNonblockingServer(
            Peer.Processor(self._handler),
            listener,
            factory,
            factory,
            threads=0,
            max_frame_size=_MAX_FRAME_BYTES,
        )
        self._server.tasks = self._task_pool
        self._server.prepare()
        bound = listener.handle.getsockname()[1]
        self.address = f'{host}:{bound}'
        self._thread = threading.Thread(
            target=self._serve, name='peer-server', daemon=True
        )
        self._thread.start()

    def _serve(self):
        while not self._stopping:
            try:
                self._server.handle()
            except Exception:
                _LOG.exception('peer server loop failed; continuing')
                self._server.poll = select.poll()

    def stop(self):
        """Stop serving and close all connections."""
        self._stopping = True
        self._server.wake_up()
        self._thread.join(5.0)
        self._server.close()
        self._task_pool.close()
        for connection in list(self._server.clients.values()):
            connection.close()


def create_peer_server(
    address, on_heartbeat, on_messages, on_query, peer_key=''
):
    """Return a peer server that is not yet started.

    Parameters
    ----------
    address : str
        ``host:port`` to listen on; port 0 selects a free port.
    on_heartbeat : callable
        ``on_heartbeat(Heartbeat) -> Heartbeat``, called from several threads.
    on_messages : callable
        ``on_messages(sender, messages)`` handles slot messages; called
        from several threads.
    on_query : callable
        ``on_query(query_text, timeout_s) -> str``, called from several
        threads.
    peer_key : str
        Key that peers must send; empty accepts all peers.

    Returns
    -------
    PeerServer
    """
    handler = _Handler(on_heartbeat, on_messages, on_query, peer_key)
    return PeerServer(address, handler)
