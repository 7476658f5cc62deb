"""One exchange of a request and its response with an endpoint."""

import asyncio
import dataclasses

import h11

from sniperudder.forwarding import _connections
from sniperudder import platform

# Maximum number of response heads read to find the one of this request;
# responses to other requests on the connection are skipped.
_MAX_HEAD_READS = 3

# Time for which the body of a refusal is awaited, to keep the connection,
# seconds.
_REFUSAL_BODY_TIMEOUT_S = 0.2

# Statuses whose responses have no body (RFC 9110).
_STATUSES_WITHOUT_BODY = (204, 304)


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The complete response of an endpoint.

    Attributes
    ----------
    status : int
    headers : list of (bytes, bytes)
        Headers to send to the caller.
    body : bytes
    ends_with_connection : bool
        Whether only the end of the connection shows that it is complete.
    """

    status: int
    headers: list
    body: bytes
    ends_with_connection: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The request was not run and will not be run.

    Attributes
    ----------
    reason : str
    fault_address : str or None
        Address of the faulty stage, if it is not the first one.
    reached_endpoint : bool
        Whether the request reached an endpoint, which refused it.
    misdirected : bool
        Whether the request reached the wrong endpoint, or one that does not
        hold the requested layers.
    restricted : bool
        Whether it was not sent, because the endpoint asked for fewer requests.
    """

    reason: str
    fault_address: str | None = None
    reached_endpoint: bool = False
    misdirected: bool = False
    restricted: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Interrupted:
    """No complete response arrived; the request may have run.

    Attributes
    ----------
    reason : str
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """A request as sent to an endpoint.

    Attributes
    ----------
    request_id : str
    method, target : bytes
    headers : list of (bytes, bytes)
    body : bytes
    """

    request_id: str
    method: bytes
    target: bytes
    headers: list
    body: bytes


class Exchange:
    """An exchange of one request and its response on a connection.

    Parameters
    ----------
    pool : ConnectionPool
    address : str
    outgoing : OutgoingRequest
    guard : SendGuard, optional
    reserve : callable, optional
        See `_connections.receive_body`.

    Attributes
    ----------
    was_sent : bool
        Whether any of the request may have reached the endpoint.
    """

    def __init__(self, pool, address, outgoing, guard=None, reserve=None):
        self._pool = pool
        self._address = address
        self._outgoing = outgoing
        self._guard = guard
        self._reserve = reserve
        self._connection = None
        self._idle_timeout_s = None
        self._opened = False
        self.was_sent = False

    async def open(self):
        """Connect and send the request.

        Returns
        -------
        NotRun or None
            NotRun if the request could not be sent.
        """
        self._opened = True
        outgoing = self._outgoing
        sent = False
        try:
            self._connection = await self._pool.acquire(
                self._address, request_id=outgoing.request_id
            )
            if self._guard is not None and not self._guard.may_send():
                self.release()
                return NotRun('restricted by the endpoint', restricted=True)
            sent = True
        except OSError as error:
            return NotRun(f'connection failed: {describe_error(error)}')
        finally:
            if self._guard is not None and not sent:
                self._guard.give_back()
        try:
            self._connection.send_request(
                outgoing.method,
                outgoing.target,
                outgoing.headers,
                outgoing.body,
            )
        except OSError as error:
            return NotRun(describe_error(error))
        self.was_sent = True
        return None

    async def receive_head(self, timeout_s=None):
        """Receive the status line and headers of this request's response.

        Skips late responses to earlier requests on the connection.

        Parameters
        ----------
        timeout_s : float, optional
            Seconds.

        Returns
        -------
        h11.Response, NotRun or Interrupted

        Raises
        ------
        TimeoutError
            If nothing arrived in time; the call may be repeated.
        """
        for _ in range(_MAX_HEAD_READS):
            try:
                head = await _connections.receive_head(
                    self._connection, timeout_s
                )
            except TimeoutError:
                raise
            except OSError as error:
                return Interrupted(describe_error(error))
            response_head = platform.decode_response_head(
                head.status_code, head.headers
            )
            if response_head.request_id == self._outgoing.request_id:
                if self._guard is not None:
                    self._guard.record_head(head)
                self._idle_timeout_s = _connections.decode_idle_timeout_s(
                    head.headers
                )
                return head
            if not response_head.request_id:
                return Interrupted(f'answer {head.status_code} without an id')
            # A late response to an earlier request on this connection.
            try:
                await _connections.receive_body(self._connection)
                self._connection.discard_response()
            except (OSError, h11.LocalProtocolError) as error:
                return Interrupted(f'foreign answer: {describe_error(error)}')
        return Interrupted('only answers to other requests')

    def receive(self, timeout_s=None):
        """Return an awaitable of the next h11 event.

        See `ClientConnection.receive`.
        """
        return self._connection.receive(timeout_s)

    async def receive_rest(self, head, timeout_s=None):
        """Receive the body and return the outcome of the exchange.

        Parameters
        ----------
        head : h11.Response
        timeout_s : float, optional
            Seconds; no limit by default.

        Returns
        -------
        Answered, NotRun or Interrupted
        """
        response_head = platform.decode_response_head(
            head.status_code, head.headers
        )
        # The head alone tells that the request was not run.
        if response_head.not_run:
            timeout_s = _REFUSAL_BODY_TIMEOUT_S
        try:
            async with asyncio.timeout(timeout_s):
                body = await _connections.receive_body(
                    self._connection, get_length(head), self._reserve
                )
        except OSError as error:
            if response_head.not_run:
                return _create_not_run(head, response_head)
            return Interrupted(describe_error(error))
        self.release()
        if response_head.not_run:
            return _create_not_run(head, response_head)
        if head.status_code < 300 and not response_head.has_seal:
            return Interrupted(f'answer {head.status_code} without a digest')
        headers = platform.filter_response_headers(list_headers(head))
        is_head_request = self._outgoing.method == b'HEAD'
        if is_head_request:
            # States the length of what a GET would return.
            headers += [h for h in head.headers if h[0] == b'content-length']
        return Answered(
            head.status_code,
            headers,
            body,
            has_body(self._outgoing.method, head.status_code)
            and ends_with_connection(head),
        )

    def release(self):
        """Return the connection to the pool after a complete response."""
        self._pool.release(self._connection, self._idle_timeout_s)
        self._connection = None

    def close(self):
        """Close the connection, so that the endpoint cancels the request."""
        if not self._opened and self._guard is not None:
            self._guard.give_back()
        if self._connection is not None:
            self._connection.close()
            self._connection = None


async def run_exchange(pool, address, outgoing, guard=None, reserve=None):
    """Send a request and receive the complete response.

    Parameters
    ----------
    pool : ConnectionPool
    address : str
    outgoing : OutgoingRequest
    guard : SendGuard, optional
    reserve : callable, optional
        See `_connections.receive_body`.

    Returns
    -------
    Answered, NotRun or Interrupted
    """
    exchange = Exchange(pool, address, outgoing, guard, reserve)
    try:
        failure = await exchange.open()
        if failure is not None:
            return failure
        head = await exchange.receive_head()
        if not isinstance(head, h11.Response):
            return head
        return await exchange.receive_rest(head)
    finally:
        exchange.close()


def list_headers(head):
    """Return the headers of an h11 event with their original spelling.

    Parameters
    ----------
    head : h11.Request or h11.Response

    Returns
    -------
    list of (bytes, bytes, bytes)
        Name in lower case, name as sent, value.
    """
    return [
        (bytes(name), bytes(raw), bytes(value))
        for (name, value), (raw, _) in zip(
            head.headers, head.headers.raw_items()
        )
    ]


def has_body(method, status):
    """Return whether a response has a body, which may be empty.

    Parameters
    ----------
    method : bytes
        Method of the request.
    status : int

    Examples
    --------
    >>> [has_body(b'GET', 200), has_body(b'GET', 204), has_body(b'HEAD', 200)]
    [True, False, False]
    """
    return method != b'HEAD' and status not in _STATUSES_WITHOUT_BODY


def get_length(head):
    """Return the length that the head of a message announces, or None.

    Parameters
    ----------
    head : h11.Request or h11.Response
    """
    for name, value in head.headers:
        if name == b'content-length':
            return int(value)
    return None


def ends_with_connection(head):
    """Return whether a body has neither a length nor chunks.

    Parameters
    ----------
    head : h11.Response
    """
    names = {bytes(name) for name, _ in head.headers}
    return names.isdisjoint((b'content-length', b'transfer-encoding'))


def describe_error(error):
    """Return the message of an exception, or its type if it has none."""
    if isinstance(error, asyncio.TimeoutError):
        return 'timeout'
    return str(error) or type(error).__name__


def _create_not_run(head, response_head):
    return NotRun(
        f'refused with {head.status_code}',
        fault_address=response_head.fault_address,
        reached_endpoint=True,
        misdirected=response_head.misdirected,
    )
