"""Client for the control interface of engines: reports and orders."""

import dataclasses
import enum
import uuid

from sniperudder.forwarding import _connections
from sniperudder import platform

__all__ = ['EngineClient', 'EngineResponse', 'NoResponse', 'SignOfLife']

_OK = 200
_MISDIRECTED = 421


@dataclasses.dataclass(frozen=True, slots=True)
class EngineResponse:
    """An engine's HTTP response to a control call.

    Attributes
    ----------
    status : int
    body : bytes
    """

    status: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class NoResponse:
    """No usable response; an order may have been carried out anyway.

    Attributes
    ----------
    reason : str
    timed_out : bool
        Whether nothing came in time, so that the engine may still run.
    is_elsewhere : bool
        Whether nothing or another endpoint serves at the engine's address.
    """

    reason: str
    timed_out: bool = False
    is_elsewhere: bool = False


class SignOfLife(enum.Enum):
    """What a call to an endpoint shows.

    NONE: it does not serve at its address.

    NOT_IN_TIME: it does not tell in time, and may still run.

    SERVES: an endpoint of its id serves, perhaps another run of it.

    SAME_RUN: the run that was asked for serves.
    """

    NONE = 'none'
    NOT_IN_TIME = 'not in time'
    SERVES = 'serves'
    SAME_RUN = 'same run'


class EngineClient:
    """Calls the control interface of engines.

    Failures are returned as `NoResponse` and not raised. Each call names
    the endpoint that it is intended for, because the address may have been
    reassigned to another endpoint in the meantime.

    Parameters
    ----------
    pool : ConnectionPool
        Must not be shared with forwarded requests. Each call has an id of its
        own, but endpoints need not state it in responses to control calls.
    timeout_s : float
        Timeout of a call, seconds.
    notice_recorder : NoticeRecorder
    """

    __slots__ = ('_notice_recorder', '_pool', '_timeout_s')

    def __init__(self, pool, timeout_s, notice_recorder):
        self._pool = pool
        self._notice_recorder = notice_recorder
        self._timeout_s = timeout_s

    async def fetch_report(self, endpoint):
        """Request an engine's report on its layers and requests.

        Parameters
        ----------
        endpoint : sniperudder.fleet.Endpoint

        Returns
        -------
        sniperudder.platform.EngineReport or NoResponse
        """
        response = await self._call(
            endpoint, 'GET', platform.REPORT_TARGET, None
        )
        if isinstance(response, NoResponse):
            return response
        if response.status != _OK:
            return NoResponse(
                f'status {response.status}',
                is_elsewhere=response.status == _MISDIRECTED,
            )
        try:
            return platform.decode_report(response.body)
        except platform.DocumentError as error:
            return NoResponse(f'unreadable: {error}')

    async def send_order(self, endpoint, body):
        """Send an order to an engine.

        Parameters
        ----------
        endpoint : sniperudder.fleet.Endpoint
        body : bytes
            The encoded order.

        Returns
        -------
        EngineResponse or NoResponse
        """
        return await self._call(endpoint, 'POST', platform.ORDER_TARGET, body)

    async def _call(self, endpoint, method, target, body):
        call_id = uuid.uuid4().hex

        def handle_head(head):
            response_head = platform.decode_response_head(
                head.status_code, head.headers
            )
            if response_head.request_id not in ('', call_id):
                # A second copy of the response to an earlier call.
                raise _connections.ConnectionBroken('answer to another call')
            self._notice_recorder.record_head(endpoint, head)

        try:
            status, response_body = await _connections.request_json(
                self._pool,
                endpoint.address,
                method,
                target,
                body,
                self._timeout_s,
                platform.make_control_headers(endpoint, call_id),
                handle_head=handle_head,
            )
        except OSError as error:
            return NoResponse(
                f'{type(error).__name__}: {error}',
                isinstance(error, TimeoutError),
                isinstance(error, ConnectionRefusedError),
            )
        return EngineResponse(status, response_body)
