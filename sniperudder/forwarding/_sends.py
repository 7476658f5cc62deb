"""One send of a request to an endpoint, and how it ended."""

import asyncio
import dataclasses

import h11

from sniperudder.forwarding import _connections
from sniperudder import platform

# Answers to other requests that are passed over before ours on a channel.
_MAX_SKIPPED_RESPONSES = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The endpoint's whole answer.

    Attributes
    ----------
    status : int
    headers : list of (bytes, bytes)
        Those that the caller receives.
    body : bytes
    """

    status: int
    headers: list
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The request was not run, and will not be.

    Attributes
    ----------
    reason : str
    fault_address : str or None
        Stage that is at fault, where another than the first one.
    arrived : bool
        Whether it reached an endpoint, which refused it.
    misplaced : bool
        Whether the stage at fault does not hold its part.
    """

    reason: str
    fault_address: str | None = None
    reached_endpoint: bool = False
    misplaced: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Broken:
    """No whole answer came; the request may have run.

    Attributes
    ----------
    reason : str
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Outgoing:
    """A request as an endpoint receives it.

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


class Send:
    """A request on a channel, from its first byte to its answer's last.

    Parameters
    ----------
    pool : ChannelPool
    address : str
    outgoing : Outgoing
    """

    def __init__(self, pool, address, outgoing):
        self._pool = pool
        self._address = address
        self._outgoing = outgoing
        self._connection = None
        self._idle_timeout_s = None

    async def open(self):
        """Connect and send; return NotRun where that failed, else None."""
        outgoing = self._outgoing
        try:
            self._connection = await self._pool.acquire(self._address)
        except OSError as error:
            return NotRun(f'connection failed: {describe_error(error)}')
        try:
            self._connection.send_request(
                outgoing.method,
                outgoing.target,
                outgoing.headers,
                outgoing.body,
            )
        except OSError as error:
            return NotRun(describe_error(error))
        return None

    async def receive_head(self, timeout_s=None):
        """Read the head of this request's answer.

        Returns
        -------
        h11.Response, NotRun or Broken

        Raises
        ------
        TimeoutError
            If nothing came in time; reading may go on.
        """
        for _ in range(_MAX_SKIPPED_RESPONSES):
            try:
                head = await _connections.receive_head(
                    self._connection, timeout_s
                )
            except TimeoutError:
                raise
            except OSError as error:
                return Broken(describe_error(error))
            answer_head = platform.read_answer_head(
                head.status_code, head.headers
            )
            if answer_head.request_id == self._outgoing.request_id:
                self._idle_timeout_s = _connections.read_idle_timeout_s(
                    head.headers
                )
                return head
            if not answer_head.request_id:
                return Broken(f'answer {head.status_code} without an id')
            # A late answer to an earlier request on this channel.
            try:
                await _connections.receive_body(self._connection)
                self._connection.skip_response()
            except (OSError, h11.LocalProtocolError) as error:
                return Broken(f'foreign answer: {describe_error(error)}')
        return Broken('only answers to other requests')

    async def receive(self, timeout_s=None):
        """Return the next h11 event of the body; see Channel.receive."""
        return await self._connection.receive(timeout_s)

    async def receive_rest(self, head):
        """Read the body, and return the outcome of the whole answer.

        Returns
        -------
        Answered, NotRun or Broken
        """
        answer_head = platform.read_answer_head(head.status_code, head.headers)
        try:
            body = await _connections.receive_body(self._connection)
        except OSError as error:
            if answer_head.not_run:
                return _create_not_run(head, answer_head)
            return Broken(describe_error(error))
        self.release()
        if answer_head.not_run:
            return _create_not_run(head, answer_head)
        if head.status_code < 300 and not answer_head.sealed:
            return Broken(f'answer {head.status_code} without a digest')
        return Answered(
            head.status_code,
            platform.make_answer_headers(list_headers(head)),
            body,
        )

    def release(self):
        """Give the channel back after a whole answer."""
        self._pool.release(self._connection, self._idle_timeout_s)
        self._connection = None

    def close(self):
        """Close the channel, so that the endpoint drops the request."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None


async def exchange(pool, address, outgoing):
    """Send a request and read its whole answer.

    Returns
    -------
    Answered, NotRun or Broken
    """
    send = Send(pool, address, outgoing)
    try:
        failure = await send.open()
        if failure is not None:
            return failure
        head = await send.receive_head()
        if not isinstance(head, h11.Response):
            return head
        return await send.receive_rest(head)
    finally:
        send.close()


def list_headers(head):
    """Return the headers of an h11 event.

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


def describe_error(error):
    """Return an exception's text, or its kind where it has none."""
    if isinstance(error, asyncio.TimeoutError):
        return 'timeout'
    return str(error) or type(error).__name__


def _create_not_run(head, answer_head):
    return NotRun(
        f'refused with {head.status_code}',
        fault_address=answer_head.fault_address,
        reached_endpoint=True,
        misplaced=answer_head.misplaced,
    )
