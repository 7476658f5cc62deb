"""Check of an endpoint's restrictions around one send."""

from sniperudder import clocks
from sniperudder import routing

__all__ = ['SendGuard']


class SendGuard:
    """Counts one send to an endpoint and reads what the endpoint responds.

    Parameters
    ----------
    T : sniperudder.fleet.FleetTables
    endpoint : sniperudder.fleet.Endpoint
    notice_recorder : NoticeRecorder
    """

    __slots__ = ('_T', '_counted', '_endpoint', '_notice_recorder')

    def __init__(self, T, endpoint, notice_recorder):
        self._T = T
        self._endpoint = endpoint
        self._notice_recorder = notice_recorder
        # A limit that the endpoint states later applies from then on.
        self._counted = routing.spend_quota(T, endpoint, clocks.read_clock())

    def may_send(self):
        """Return whether the request may be sent.

        To be asked right before the send, since the endpoint may have stated
        a restriction while the connection was opened.
        """
        now = clocks.read_clock()
        return self._counted and routing.is_open(self._T, self._endpoint, now)

    def give_back(self):
        """Return the share of a rate limit that was not used."""
        if self._counted:
            self._counted = False
            routing.return_quota(self._T, self._endpoint)

    def record_head(self, head):
        """Record what the head of a response says of the endpoint."""
        self._notice_recorder.record_head(self._endpoint, head)
