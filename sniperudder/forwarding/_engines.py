"""Client for the control interface of engines: reports and orders."""

import dataclasses

from sniperudder.forwarding import _connections
from sniperudder import platform

__all__ = ['EngineCaller', 'EngineResponse', 'Unanswered']

_OK = 200


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
class Unanswered:
    """No usable response; an order may have been carried out anyway.

    Attributes
    ----------
    reason : str
    """

    reason: str


class EngineCaller:
    """Calls the control interface of engines.

    Failures are returned as `Unanswered` and not raised. Each call names
    the endpoint that it is intended for, because the address may have been
    reassigned to another endpoint in the meantime.

    Parameters
    ----------
    pool : ChannelPool
        Must not be shared with forwarded requests. A late response to a
        forwarded request is recognised by its request id, but responses to
        control calls carry no id.
    timeout_s : float
        Timeout of a call, seconds.
    """

    __slots__ = ('_pool', '_timeout_s')

    def __init__(self, pool, timeout_s):
        self._pool = pool
        self._timeout_s = timeout_s

    async def read_report(self, endpoint):
        """Request an engine's report on its layers and requests.

        Parameters
        ----------
        endpoint : sniperudder.fleet.Endpoint

        Returns
        -------
        sniperudder.platform.EngineReport or Unanswered
        """
        response = await self._call(
            endpoint, 'GET', platform.REPORT_TARGET, None
        )
        if isinstance(response, Unanswered):
            return response
        if response.status != _OK:
            return Unanswered(f'status {response.status}')
        try:
            return platform.read_report(response.body)
        except platform.DocumentError as error:
            return Unanswered(f'unreadable: {error}')

    async def give_order(self, endpoint, body):
        """Send an order to an engine.

        Parameters
        ----------
        endpoint : sniperudder.fleet.Endpoint
        body : bytes
            The encoded order.

        Returns
        -------
        EngineResponse or Unanswered
        """
        return await self._call(endpoint, 'POST', platform.ORDER_TARGET, body)

    async def _call(self, endpoint, method, target, body):
        try:
            status, response_body = await _connections.call(
                self._pool,
                endpoint.address,
                method,
                target,
                body,
                self._timeout_s,
                platform.make_call_headers(endpoint),
            )
        except OSError as error:
            return Unanswered(f'{type(error).__name__}: {error}')
        return EngineResponse(status, response_body)
