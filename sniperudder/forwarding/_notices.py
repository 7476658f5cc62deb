"""Recording of what endpoints say of themselves."""

from sniperudder import clocks
from sniperudder import platform

__all__ = ['NoticeRecorder']

_MISDIRECTED = 421


class NoticeRecorder:
    """Records and logs the notices in the responses of endpoints.

    Parameters
    ----------
    T : sniperudder.fleet.FleetTables
    journal : object
        Event log; see `Forwarder`.
    """

    __slots__ = ('_T', '_journal')

    def __init__(self, T, journal):
        self._T = T
        self._journal = journal

    def record_head(self, endpoint, head):
        """Record what the head of a response says.

        Parameters
        ----------
        endpoint : sniperudder.fleet.Endpoint
            Endpoint to which the request was sent.
        head : h11.Response
        """
        if head.status_code == _MISDIRECTED:
            # Another endpoint may have taken over the address.
            return
        notice = platform.decode_notice(head.status_code, head.headers)
        run_id = endpoint.id, endpoint.born_ms
        changed = self._T.notices.record(run_id, notice, clocks.read_clock())
        if changed:
            self._journal.write(
                'endpoint:notice',
                endpoint.id,
                leaving=notice.leaving,
                rate_limit=notice.rate_limit,
                pause_s=notice.pause_s,
                by='answer',
            )
        if notice.malformed:
            self._journal.write(
                'endpoint:malformed notice',
                endpoint.id,
                headers=notice.malformed,
            )
