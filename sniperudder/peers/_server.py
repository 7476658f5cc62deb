"""The server of an instance's peer interface."""

from concurrent import futures
import logging
import select
import threading

from sniperudder.peers import _codec
from sniperudder.peers import _keys
from sniperudder.peers import _posts
from sniperudder.peers.gen.wire import Peer
from sniperudder.peers.gen.wire import ttypes
from thrift.protocol import TBinaryProtocol
from thrift.server import TNonblockingServer
from thrift.transport import TSocket

_LOG = logging.getLogger(__name__)
_MAX_ASKS = 4
_MAX_FRAME = 4 << 20
_THREADS = 8


class _Handler:
    """Answers the calls of peers."""

    def __init__(self, on_beat, on_posts, on_ask, peer_key):
        self._on_beat = on_beat
        self._on_posts = on_posts
        self._on_ask = on_ask
        self._peer_key = peer_key
        self._asks = threading.BoundedSemaphore(_MAX_ASKS)

    def exchange(self, peer_key, beat):
        _keys.check_key(self._peer_key, peer_key)
        answer = self._on_beat(_codec.decode_beat(beat))
        return _codec.encode_beat(answer)

    def tell(self, peer_key, sender, posts):
        _keys.check_key(self._peer_key, peer_key)
        messages = [_posts.decode_post(post) for post in posts]
        self._on_posts(sender, [m for m in messages if m is not None])

    def ask(self, peer_key, query_json, timeout_s):
        _keys.check_key(self._peer_key, peer_key)
        if not self._asks.acquire(blocking=False):
            raise ttypes.Rejected('too many queries at once')
        try:
            return self._on_ask(query_json, timeout_s)
        finally:
            self._asks.release()


class _Tasks:
    """Runs the server's calls on a pool of threads.

    It takes the place of the library's own queue, whose threads end
    when a connection is closed during its call.
    """

    def __init__(self):
        self._pool = futures.ThreadPoolExecutor(_THREADS, 'peer-server')

    def put(self, task):
        self._pool.submit(_run_task, *task)

    def close(self):
        self._pool.shutdown(wait=False, cancel_futures=True)


def _run_task(processor, request, answer, buffer, finish):
    try:
        processor.process(request, answer)
        finish(True, buffer.getvalue())
    except AssertionError:
        _LOG.debug('the connection was closed during its call')
    except Exception:
        _LOG.exception('a call failed')
        finish(False, b'')


class PeerServer:
    """Serves heartbeats and queries of peers from its own threads.

    Attributes
    ----------
    address : str
        ``host:port`` that it listens on, once started.
    """

    def __init__(self, address, handler):
        self.address = address
        self._handler = handler
        self._server = None
        self._tasks = _Tasks()
        self._thread = None
        self._stopping = False

    def start(self):
        """Listen, and serve from now on.

        Raises
        ------
        OSError
            If the address is taken or wrong.
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
            max_frame_size=_MAX_FRAME,
        )
        self._server.tasks = self._tasks
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
                _LOG.exception('peer server goes on after an error')
                self._server.poll = select.poll()

    def stop(self):
        """Stop serving and close all connections."""
        self._stopping = True
        self._server.wake_up()
        self._thread.join(5.0)
        self._server.close()
        self._tasks.close()
        for connection in list(self._server.clients.values()):
            connection.close()


def create_peer_server(address, on_beat, on_posts, on_ask, peer_key=''):
    """Return a server, not yet started.

    Parameters
    ----------
    address : str
        ``host:port`` to listen on; port 0 takes a free one.
    on_beat : callable
        ``on_beat(Beat) -> Beat``, called from several threads.
    on_posts : callable
        ``on_posts(sender, messages)``, called from several threads.
    on_ask : callable
        ``on_ask(query_json, timeout_s) -> str``, called from several
        threads.
    peer_key : str
        Key that peers must present; empty accepts all.

    Returns
    -------
    PeerServer
    """
    handler = _Handler(on_beat, on_posts, on_ask, peer_key)
    return PeerServer(address, handler)
