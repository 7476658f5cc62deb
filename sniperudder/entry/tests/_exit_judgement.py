"""Judgement of how the requests of random cases ended."""

from sniperudder.entry.tests import _exit_members
from sniperudder.entry.tests import _exit_records

__all__ = ['CLOCK_SLACK_S', 'Judgement']

# Tolerance for times that are measured on a busy machine, seconds.
CLOCK_SLACK_S = 0.15

# Time before the end of a connection within which a request that was sent on
# it may not have arrived yet, seconds.
_CROSSING_S = 0.2


class Judgement:
    """What is wrong with the end of one request.

    Attributes
    ----------
    crossed_s : float or None
        Time from its sending to the closing of its connection, if it was not
        read because the two crossed, seconds.
    """

    def __init__(self, case, request):
        self.crossed_s = None
        self._case = case
        self._request = request
        self._runs = case.runs.get(request.id, [])
        self._cuts = [
            fields['reason']
            for event, _, fields in case.list_lines(request)
            if event == 'request:cut'
        ]
        self._broke = any(
            run.end in ('broke', 'failed') or run.is_unlisted
            for run in self._runs
        )
        self._arrival = request.instance.arrivals.get(request.id)
        self._is_over = self._arrival is not None and (
            request.ended_at - self._arrival.at
            > case.get_time_s(request, self._arrival.version) - CLOCK_SLACK_S
        )
        target = f'/{request.route}/a'
        pieces = _exit_records.list_pieces(request.id, target, request.body)
        self._whole = b''.join(pieces)

    @property
    def is_let_go(self):
        """Whether it was cut after a run was ended for the sake of another."""
        return 'broken off' in self._cuts and any(
            run.end == 'left' for run in self._runs
        )

    def list_faults(self):
        """Return what is wrong, as a list of str."""
        request, cuts = self._request, self._cuts
        begun = [run for run in self._runs if run.end != 'refused']
        faults = []
        if request.route in ('unsafe', 'once') and len(begun) > 1:
            faults.append('ran twice')
        if request.outcome == 'whole':
            faults += self._judge_answer(begun)
            if cuts:
                faults.append('whole, and a line of a cut')
            return faults
        if request.outcome == 'cut':
            faults += self._judge_cut()
        elif request.outcome != 'left':
            faults.append('neither answered nor closed in time')
        elif cuts[1:] or not set(cuts) <= self._list_lawful():
            faults.append(f'left, and cut for {cuts}')
        if request.status == 200 and not self._whole.startswith(
            request.answer
        ):
            faults.append('pieces missing, twice or of another request')
        return faults

    def _judge_answer(self, begun):
        request, status = self._request, self._request.status
        if 'x-sniperudder-response-seal' in request.headers:
            if status not in {run.status for run in self._runs}:
                return ['a status that no endpoint gave']
            expected = b'bad' if status == 500 else self._whole
            if request.method == 'HEAD' or status in (204, 304):
                expected = b''
            return [] if request.answer == expected else ['another body']
        if status == 502:
            if any(run.end == 'failed' for run in self._runs):
                return ['an answer of an endpoint was replaced']
            return self._judge_break()
        kinds = {401: 'keys', 404: 'removed', 413: 'limits'}
        is_lawful = {
            503: not begun,
            504: self._is_over and self._may_have_run(),
            408: request.is_late and self._arrival is None,
            **{
                own: any(done == kind for _, done in self._case.changes)
                for own, kind in kinds.items()
            },
        }
        return [] if is_lawful.get(status) else [f'unlawful status {status}']

    def _may_have_run(self):
        """Return whether the instance knew no outcome of one of the sends."""
        lines = self._case.list_lines(self._request)
        sends = [event for event, _, _ in lines if event == 'request:sent']
        outcomes = [
            outcome
            for event, _, fields in lines
            if event == 'request:end'
            for outcome in fields['sends']
        ]
        return len(sends) > len(outcomes)

    def _judge_cut(self):
        if self._arrival is None:
            return self._judge_unread()
        if len(self._cuts) != 1 or self._cuts[0] not in self._list_lawful():
            return [f'unlawful cut: {self._cuts}']
        return self._judge_break() if self._cuts == ['broken off'] else []

    def _judge_unread(self):
        """Judge a request that the instance has not read whole."""
        request, before = self._request, self._request.follows
        if self._runs or self._cuts:
            return ['ran, or was cut, and was not read']
        if before is not None and (
            before.outcome != 'whole' or before.announces_close
        ):
            return []
        closed_at = request.instance.closings.get(request.address)
        if closed_at is not None:
            unread_s = closed_at - request.sent_at
            if unread_s < _CROSSING_S:
                self.crossed_s = unread_s
                return []
            if request.is_sent:
                return [f'sent whole, unread for {unread_s:.3f} s, closed']
        elif request.is_sent:
            return ['sent whole, and lost']
        stop_at = request.instance.stop_at
        stopped = stop_at is not None and request.ended_at >= stop_at
        return [] if stopped else ['closed before it was sent whole']

    def _list_lawful(self):
        """Return the lawful reasons of a cut of this request."""
        request, stop_at = self._request, self._request.instance.stop_at
        # A reset may discard a head that was sent.
        is_midway = request.status != 0 or request.outcome == 'left'
        if request.route in ('stream', 'once'):
            is_midway |= any(run.sent_at for run in self._runs)
        closes_at = float('inf')
        if stop_at is not None:
            closes_at = stop_at + _exit_members.CLOSES_AFTER_S - CLOCK_SLACK_S
        reasons = {
            'caller left': request.outcome == 'left',
            'out of time': self._is_over and is_midway,
            'broken off': self._broke and is_midway,
            'stopped': request.ended_at >= closes_at,
        }
        return {reason for reason, is_lawful in reasons.items() if is_lawful}

    def _judge_break(self):
        """Judge an end for which only endpoints may be responsible."""
        if not self._broke:
            return ['failed, but no endpoint broke off']
        given_up = [
            run.endpoint
            for run in self._runs
            if run.end == 'left' and not self._is_superseded(run)
        ]
        return [f'given up at {given_up}'] if given_up else []

    def _is_superseded(self, left):
        """Return whether another run delivered something beside one."""
        return any(
            left.began_at <= sent_at <= left.ended_at
            for run in self._runs
            if run is not left
            for sent_at in run.sent_at
        )
