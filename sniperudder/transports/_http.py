"""One HTTP call at a time over pooled connections, never repeated."""

import dataclasses
import http.client
import time
import typing
import uuid

import urllib3

from sniperudder.inputs import Delivery

_CONNECT_TIMEOUT_S = 2.0
_PIECE_BYTES = 65536
_CALL_HEADER = 'X-Call-Id'
_EXECUTION_HEADER = 'X-Execution'
_NOT_RUN = 'not-run'
_HEADERS = {'User-Agent': urllib3.util.SKIP_HEADER}
_PROTOCOL = 'HTTP/'

# Raised before the first byte is handed to the socket.
_NOT_SENT_ERRORS = (
    urllib3.exceptions.ConnectTimeoutError,
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.EmptyPoolError,
    urllib3.exceptions.ClosedPoolError,
    urllib3.exceptions.LocationValueError,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A whole answer.

    Attributes
    ----------
    call : str
        Identifier of the call.
    status : int
        HTTP status.
    headers : mapping of str to str
        Names in any case.
    body : bytes
    elapsed_s : float
        Time from sending to answer, seconds.
    """

    call: str
    status: int
    headers: typing.Any
    body: bytes
    elapsed_s: float

    @property
    def execution(self):
        """What the other side says: ``not-run``, ``ran`` or nothing."""
        return self.headers.get(_EXECUTION_HEADER, '')

    @property
    def not_run(self):
        """Whether the other side says that it did not start."""
        return self.execution == _NOT_RUN


@dataclasses.dataclass(frozen=True, slots=True)
class NoReply:
    """No whole answer, or one to another call.

    Attributes
    ----------
    call : str
    delivery : Delivery
    crashed : bool
        Whether the connection broke after the call began to leave.
    detail : str
    """

    call: str
    delivery: Delivery
    crashed: bool
    detail: str


class _Connection(urllib3.connection.HTTPConnection):
    """Counts as dropped once it was idle for long.

    Servers close idle connections, and one that closes as a call begins
    to leave can't be told from a crash.
    """

    def __init__(self, *args, max_idle_s, **others):
        super().__init__(*args, **others)
        self._max_idle_s = max_idle_s
        self._answered_at = time.monotonic()

    @property
    def is_connected(self):
        """See base class."""
        idle_s = time.monotonic() - self._answered_at
        return idle_s <= self._max_idle_s and super().is_connected

    def getresponse(self):
        """See base class."""
        response = super().getresponse()
        self._answered_at = time.monotonic()
        return response


class _Pool(urllib3.HTTPConnectionPool):
    ConnectionCls = _Connection


class HttpTransport:
    """Makes calls to ``host:port`` addresses; safe for many threads.

    Parameters
    ----------
    pool_size : int
        Largest number of connections to one address.
    max_answer_bytes : int
        A longer answer counts as lost.
    max_idle_s : float
        A connection that was idle for longer is not used again.
    """

    def __init__(self, pool_size, max_answer_bytes, max_idle_s):
        self._max_answer_bytes = max_answer_bytes
        self._max_idle_s = max_idle_s
        self._pool_size = pool_size
        self._pools = {}

    def exchange(
        self,
        method,
        address,
        path,
        timeout_s,
        body=None,
        headers=None,
        send_within_s=float('inf'),
    ):
        """Make one call.

        Parameters
        ----------
        method : str
        address : str
            ``host:port``.
        path : str
            Path and query, already quoted.
        timeout_s : float
            Longest wait for the whole answer, seconds. The wait for
            the next piece of a body may end up to as much later, and a
            head that comes in bits is not cut short.
        body : bytes, optional
        headers : dict of str to str, optional
            In ASCII, without line ends.
        send_within_s : float
            Longest wait for a free connection, and for a new one,
            seconds.

        Returns
        -------
        Reply or NoReply
        """
        call = uuid.uuid4().hex
        started = time.monotonic()
        if min(timeout_s, send_within_s) <= 0:
            return NoReply(call, Delivery.NOT_SENT, False, 'no time left')
        try:
            response = self._open(
                method,
                address,
                path,
                timeout_s,
                body,
                {**_HEADERS, **(headers or {}), _CALL_HEADER: call},
                min(timeout_s, send_within_s),
            )
        except (urllib3.exceptions.HTTPError, http.client.HTTPException) as e:
            return _describe_error(call, e)
        try:
            return self._read(call, response, started, started + timeout_s)
        except (urllib3.exceptions.HTTPError, http.client.HTTPException) as e:
            return _describe_error(call, e)
        finally:
            _release(response)

    def close(self):
        """Close the idle connections."""
        for address in list(self._pools):
            self._pools.pop(address).close()

    def _open(
        self, method, address, path, timeout_s, body, headers, send_within_s
    ):
        pool = self._pools.get(address) or self._create_pool(address)
        return pool.urlopen(
            method,
            path,
            body=body,
            headers=headers,
            retries=False,
            redirect=False,
            timeout=urllib3.Timeout(
                connect=min(send_within_s, _CONNECT_TIMEOUT_S),
                total=timeout_s,
            ),
            pool_timeout=send_within_s,
            preload_content=False,
            decode_content=False,
        )

    def _create_pool(self, address):
        host, _, port = address.rpartition(':')
        if not host or not port.isdecimal():
            raise urllib3.exceptions.LocationParseError(address)
        pool = _Pool(
            host,
            int(port),
            maxsize=self._pool_size,
            block=True,
            max_idle_s=self._max_idle_s,
        )
        return self._pools.setdefault(address, pool)

    def _read(self, call, response, started, until):
        lost = Delivery.LOST
        echoed = response.headers.get(_CALL_HEADER, call)
        if echoed != call:
            return NoReply(call, lost, False, 'answer to another call')
        if not _is_framed(response):
            return NoReply(call, lost, False, 'answer without a length')
        pieces = []
        size = 0
        while piece := response.read1(_PIECE_BYTES, decode_content=False):
            pieces.append(piece)
            size += len(piece)
            if size > self._max_answer_bytes:
                return NoReply(call, lost, False, 'answer too long')
            if time.monotonic() > until:
                return NoReply(call, lost, False, 'answer too slow')
        return Reply(
            call=call,
            status=response.status,
            headers=response.headers,
            body=b''.join(pieces),
            elapsed_s=time.monotonic() - started,
        )


def _is_framed(response):
    """Whether the end of the answer can be told from a broken one."""
    if response.status == http.client.NO_CONTENT:
        return True
    # A head that broke off may end in a length with no digits, which
    # http.client takes for an answer that lasts until the connection ends.
    length = response.headers.get('Content-Length', '')
    return response.chunked or length.isdecimal()


def _release(response):
    """Return the connection, closed unless the answer was read whole."""
    if not response.closed:
        response.close()
    response.release_conn()


def _describe_error(call, error):
    if isinstance(error, _NOT_SENT_ERRORS):
        return NoReply(call, Delivery.NOT_SENT, False, str(error))
    return NoReply(call, Delivery.LOST, _is_broken(error), str(error))


def _is_broken(error):
    """Whether an error means that the connection ended early."""
    cause = error.args[-1] if error.args else None
    if isinstance(cause, (ConnectionError, http.client.IncompleteRead)):
        return True
    if not isinstance(cause, http.client.BadStatusLine):
        return False
    # A status line that was cut, and not the words of another protocol.
    line = cause.line.strip("'")
    return line.startswith(_PROTOCOL) or _PROTOCOL.startswith(line)


def create_transport(
    pool_size=64, max_answer_bytes=16 * 1024 * 1024, max_idle_s=2.0
):
    """Return an ``HttpTransport``.

    Parameters
    ----------
    pool_size : int
        Largest number of connections to one address; a call beyond it
        waits, and is not sent if its time runs out first.
    max_answer_bytes : int
    max_idle_s : float
        Shorter than the time after which servers close idle
        connections, of which 5 s is a common one.
    """
    return HttpTransport(pool_size, max_answer_bytes, max_idle_s)
