"""Record of the events sent to a caller."""

from sniperudder.forwarding import _exchanges

__all__ = ['StreamProgress', 'forward_events']


class StreamProgress:
    """Records which events of a stream were sent to its caller.

    Attributes
    ----------
    started : bool
        Whether the response headers were sent.
    last_id : int or None
        Id of the last event sent, or of the one to resume after.
    first_event_at, last_event_at : float or None
        Loop time at which the first and the latest event were sent, seconds.
    events : int
        Number of events sent.
    gaps_s : list of float
        Gaps between successive batches of events, seconds.
    """

    __slots__ = (
        'events',
        'first_event_at',
        'gaps_s',
        'last_event_at',
        'last_id',
        'started',
    )

    def __init__(self, last_id):
        self.started = False
        self.last_id = last_id
        self.first_event_at = None
        self.last_event_at = None
        self.events = 0
        self.gaps_s = []

    def can_resume(self, job):
        """Return whether the stream can be resumed at another chain.

        A started stream whose events have no ids cannot be resumed,
        because there is no position to resume from.
        """
        has_position = self.last_id is not None or not self.started
        return job.route.resumable and has_position

    def record_events(self, count, now):
        """Count sent events and return the gap before them.

        Parameters
        ----------
        count : int
        now : float
            Loop time, seconds.

        Returns
        -------
        float
            Seconds; 0 for the first events.
        """
        gap_s = 0.0
        if self.first_event_at is None:
            self.first_event_at = now
        else:
            gap_s = now - self.last_event_at
            self.gaps_s.append(gap_s)
        self.last_event_at = now
        self.events += count
        return gap_s


def forward_events(forwarder, caller, stream, headers, events, gap_target_s):
    """Send events to the caller, as far as they continue the stream.

    Parameters
    ----------
    forwarder : Forwarder
    caller : CallerConnection
    stream : StreamProgress
    headers : list of (bytes, bytes)
        Response headers, sent before the first event.
    events : sequence of Event
    gap_target_s : float
        Longest gap that counts as timely, seconds.

    Returns
    -------
    count : int
        Number of events sent.
    interrupted : Interrupted or None
        Set if the other events do not continue the stream: their ids do not
        increase, or are missing after an event that has one.
    """
    chunks, last_id, interrupted = [], stream.last_id, None
    for event in events:
        event_id = event.id
        if last_id is not None and (event_id is None or event_id <= last_id):
            name = 'without an id' if event_id is None else event_id
            interrupted = _exchanges.Interrupted(
                f'event {name} after {last_id}'
            )
            break
        last_id = event_id
        chunks.append(event.data)
    if chunks:
        _send(forwarder, caller, stream, headers, chunks, gap_target_s)
        # What was read but not sent must not count: the stream is resumed
        # after the last event that the caller has got.
        stream.last_id = last_id
    return len(chunks), interrupted


def _send(forwarder, caller, stream, headers, chunks, gap_target_s):
    if not stream.started:
        caller.start_response(200, headers)
        stream.started = True
    caller.send_data(b''.join(chunks))
    gap_s = stream.record_events(len(chunks), forwarder.now())
    forwarder.load_shedder.record_event(gap_s, gap_target_s)
