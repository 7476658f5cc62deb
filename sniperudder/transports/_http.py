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
_POOLS = 4096
_CALL_HEADER = 'X-Call-Id'
_EXECUTION_HEADER = 'X-Execution'
_NOT_RUN = 'not-run'
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


class HttpTransport:
    """Makes calls to ``host:port`` addresses; safe for many threads.

    Parameters
    ----------
    pool_size : int
        Largest number of connections to one address.
    max_answer_bytes : int
        A longer answer counts as lost.
    """

    def __init__(self, pool_size, max_answer_bytes):
        self._max_answer_bytes = max_answer_bytes
        self._pools = urllib3.PoolManager(
            num_pools=_POOLS,
            maxsize=pool_size,
            block=True,
            retries=False,
        )

    def exchange(
        self, method, address, path, timeout_s, body=None, headers=None
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
            Longest wait for the whole answer, seconds. A wait for a
            single piece of it may end up to as much later.
        body : bytes, optional
        headers : dict of str to str, optional
            In ASCII, without line ends.

        Returns
        -------
        Reply or NoReply
        """
        call = uuid.uuid4().hex
        started = time.monotonic()
        if timeout_s <= 0:
            return NoReply(call, Delivery.NOT_SENT, False, 'no time left')
        try:
            response = self._open(
                method,
                address,
                path,
                timeout_s,
                body,
                {**(headers or {}), _CALL_HEADER: call},
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
        self._pools.clear()

    def _open(self, method, address, path, timeout_s, body, headers):
        host, _, port = address.rpartition(':')
        if not host or not port.isdecimal():
            raise urllib3.exceptions.LocationParseError(address)
        pool = self._pools.connection_from_host(host, int(port), 'http')
        return pool.urlopen(
            method,
            path,
            body=body,
            headers=headers,
            retries=False,
            redirect=False,
            timeout=urllib3.Timeout(
                connect=min(timeout_s, _CONNECT_TIMEOUT_S), total=timeout_s
            ),
            pool_timeout=timeout_s,
            preload_content=False,
            decode_content=False,
        )

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


def create_transport(pool_size=64, max_answer_bytes=16 * 1024 * 1024):
    """Return an ``HttpTransport``.

    Parameters
    ----------
    pool_size : int
        Largest number of connections to one address; a call beyond it
        waits, and is not sent if its time runs out first.
    max_answer_bytes : int
    """
    return HttpTransport(pool_size, max_answer_bytes)
