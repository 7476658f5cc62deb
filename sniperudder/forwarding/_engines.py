"""Calls to engines: their reports, and orders to them."""

import dataclasses

from sniperudder.forwarding import _connections
from sniperudder import platform

__all__ = ['EngineCaller', 'EngineResponse', 'Unanswered']

_OK = 200


@dataclasses.dataclass(frozen=True, slots=True)
class EngineResponse:
    """An engine's answer to an order.

    Attributes
    ----------
    status : int
    body : bytes
    """

    status: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Unanswered:
    """No usable answer; an order may be carried out all the same.

    Attributes
    ----------
    reason : str
    """

    reason: str


class EngineCaller:
    """Calls engines; every outcome is a record.

    Each call names the endpoint that it is meant for: its address may
    belong to another one by now.

    Parameters
    ----------
    pool : ChannelPool
        Not shared with requests: their late answers carry ids, and answers
        to calls carry none.
    timeout_s : float
        Longest wait for an answer, seconds.
    """

    __slots__ = ('_pool', '_timeout_s')

    def __init__(self, pool, timeout_s):
        self._pool = pool
        self._timeout_s = timeout_s

    async def read_report(self, endpoint):
        """Ask an engine what it holds and does.

        Returns
        -------
        sniperudder.platform.EngineReport or Unanswered
        """
        reply = await self._call(endpoint, 'GET', platform.REPORT_TARGET, None)
        if isinstance(reply, Unanswered):
            return reply
        if reply.status != _OK:
            return Unanswered(f'status {reply.status}')
        try:
            return platform.read_report(reply.body)
        except platform.DocumentError as error:
            return Unanswered(f'unreadable: {error}')

    async def give_order(self, endpoint, body):
        """Give an engine an order.

        Returns
        -------
        Replied or Unanswered
        """
        return await self._call(endpoint, 'POST', platform.ORDER_TARGET, body)

    async def _call(self, endpoint, method, target, body):
        try:
            status, answer = await _connections.call(
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
        return EngineResponse(status, answer)
