"""HTTP calls over pooled connections, without retries."""

import dataclasses
import http.client
import time
import typing
import uuid

import urllib3

from sniperudder.inputs import Delivery

_CONNECT_TIMEOUT_S = 2.0
_READ_CHUNK_BYTES = 65536
_CALL_HEADER = 'X-Call-Id'
_EXECUTION_HEADER = 'X-Execution'
_NOT_RUN_VALUE = 'not-run'
_HEADERS = {'User-Agent': urllib3.util.SKIP_HEADER}
_STATUS_LINE_PREFIX = 'HTTP/'

# Raised before the first byte is passed to the socket.
_NOT_SENT_ERRORS = (
    urllib3.exceptions.ConnectTimeoutError,
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.EmptyPoolError,
    urllib3.exceptions.ClosedPoolError,
    urllib3.exceptions.LocationValueError,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A complete HTTP response.

    Attributes
    ----------
    call_id : str
        Identifier of the call.
    status : int
        HTTP status.
    headers : mapping of str to str
        Names are case-insensitive.
    body : bytes
    elapsed_s : float
        Time from the start of the call to the complete response,
        seconds.
    """

    call_id: str
    status: int
    headers: typing.Any
    body: bytes
    elapsed_s: float

    @property
    def execution(self):
        """Execution reported by the server: ``not-run``, ``ran`` or empty."""
        return self.headers.get(_EXECUTION_HEADER, '')

    @property
    def not_run(self):
        """Whether the server reported that it did not start the request."""
        return self.execution == _NOT_RUN_VALUE


@dataclasses.dataclass(frozen=True, slots=True)
class CallFailure:
    """A call without a complete response of its own.

    Attributes
    ----------
    call_id : str
    delivery : Delivery
    connection_broke : bool
        Whether the connection broke after sending had started; the
        server need not have crashed.
    detail : str
    """

    call_id: str
    delivery: Delivery
    connection_broke: bool
    detail: str


class _Connection(urllib3.connection.HTTPConnection):
    """Reports itself as disconnected after a long idle time.

    Servers close idle connections, and a close while a call starts to be
    sent cannot be distinguished from a crash of the server.
    """

    def __init__(self, *args, max_idle_s, **kwargs):
        super().__init__(*args, **kwargs)
        self._max_idle_s = max_idle_s
        self._last_response_at = time.monotonic()

    @property
    def is_connected(self):
        """See base class."""
        idle_s = time.monotonic() - self._last_response_at
        return idle_s <= self._max_idle_s and super().is_connected

    def getresponse(self):
        """See base class."""
        response = super().getresponse()
        self._last_response_at = time.monotonic()
        return response


class _Pool(urllib3.HTTPConnectionPool):
    ConnectionCls = _Connection


class HttpTransport:
    """Makes calls to ``host:port`` addresses; thread-safe.

    Parameters
    ----------
    pool_size : int
        Maximum number of connections to one address.
    max_response_bytes : int
        Longer responses are treated as lost.
    max_idle_s : float
        Connections that were idle for longer, in seconds, are not
        reused.
    """

    def __init__(self, pool_size, max_response_bytes, max_idle_s):
        self._max_response_bytes = max_response_bytes
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
            Timeout of the complete response, seconds. It is checked
            between reads of the body, so the last read may exceed it by
            up to the same time. Response headers that arrive in small
            parts are not limited by it.
        body : bytes, optional
        headers : dict of str to str, optional
            ASCII values without line breaks.
        send_within_s : float
            Timeout for a free pooled connection and for opening a new
            one, seconds.

        Returns
        -------
        Response or CallFailure
        """
        call_id = uuid.uuid4().hex
        started = time.monotonic()
        if min(timeout_s, send_within_s) <= 0:
            return CallFailure(
                call_id, Delivery.NOT_SENT, False, 'no time left'
            )
        try:
            response = self._open(
                method,
                address,
                path,
                timeout_s,
                body,
                {**_HEADERS, **(headers or {}), _CALL_HEADER: call_id},
                min(timeout_s, send_within_s),
            )
        except (
            urllib3.exceptions.HTTPError,
            http.client.HTTPException,
        ) as exc:
            return _describe_error(call_id, exc)
        try:
            return self._read(call_id, response, started, started + timeout_s)
        except (
            urllib3.exceptions.HTTPError,
            http.client.HTTPException,
        ) as exc:
            return _describe_error(call_id, exc)
        finally:
            _release(response)

    def close(self):
        """Close the idle connections of all pools."""
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

    def _read(self, call_id, response, started, deadline):
        lost = Delivery.LOST
        echoed_call = response.headers.get(_CALL_HEADER, call_id)
        if echoed_call != call_id:
            return CallFailure(call_id, lost, False, 'answer to another call')
        if not _is_framed(response):
            return CallFailure(call_id, lost, False, 'answer without a length')
        chunks = []
        size = 0
        while chunk := response.read1(_READ_CHUNK_BYTES, decode_content=False):
            chunks.append(chunk)
            size += len(chunk)
            if size > self._max_response_bytes:
                return CallFailure(call_id, lost, False, 'answer too long')
            if time.monotonic() > deadline:
                return CallFailure(call_id, lost, False, 'answer too slow')
        return Response(
            call_id=call_id,
            status=response.status,
            headers=response.headers,
            body=b''.join(chunks),
            elapsed_s=time.monotonic() - started,
        )


def _is_framed(response):
    """Return whether a truncated response can be detected."""
    if response.status == http.client.NO_CONTENT:
        return True
    # A truncated head may end in a Content-Length without digits, which
    # http.client treats as a body that ends with the connection.
    length = response.headers.get('Content-Length', '')
    return response.chunked or length.isdecimal()


def _release(response):
    """Return the connection to the pool; close it if not fully read."""
    if not response.closed:
        response.close()
    response.release_conn()


def _describe_error(call_id, error):
    if isinstance(error, _NOT_SENT_ERRORS):
        return CallFailure(call_id, Delivery.NOT_SENT, False, str(error))
    return CallFailure(
        call_id, Delivery.LOST, _is_connection_error(error), str(error)
    )


def _is_connection_error(error):
    """Return whether an error means that the connection broke."""
    cause = error.args[-1] if error.args else None
    if isinstance(cause, (ConnectionError, http.client.IncompleteRead)):
        return True
    if not isinstance(cause, http.client.BadStatusLine):
        return False
    # A truncated status line, as opposed to data of another protocol.
    line = cause.line.strip("'")
    return line.startswith(
        _STATUS_LINE_PREFIX
    ) or _STATUS_LINE_PREFIX.startswith(line)


def create_transport(
    pool_size=64, max_response_bytes=16 * 1024 * 1024, max_idle_s=2.0
):
    """Return an ``HttpTransport``.

    Parameters
    ----------
    pool_size : int
        Maximum number of connections to one address; further calls wait
        for a free connection and are not sent if they time out first.
    max_response_bytes : int
        Maximum size of a response body, bytes.
    max_idle_s : float
        Maximum idle time of a reused connection, seconds. Must be
        shorter than the idle timeout of servers, commonly 5 s.
    """
    return HttpTransport(pool_size, max_response_bytes, max_idle_s)
