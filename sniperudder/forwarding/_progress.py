"""What the caller of a stream has received."""

from sniperudder.forwarding import _sends

__all__ = ['StreamProgress', 'forward_events']


class StreamProgress:
    """What the caller of one stream has received.

    Attributes
    ----------
    started : bool
        Whether the head of the answer was sent.
    last_id : int or None
        Id of the last event that was sent.
    first_at, last_at : float or None
        When the first and the newest event were sent, loop time.
    events : int
    pauses_s : list of float
        Times between the arrivals of events, seconds.
    """

    __slots__ = (
        'events',
        'first_event_at',
        'last_event_at',
        'last_id',
        'pauses_s',
        'started',
    )

    def __init__(self, last_id):
        self.started = False
        self.last_id = last_id
        self.first_event_at = None
        self.last_event_at = None
        self.events = 0
        self.pauses_s = []

    def can_resume(self, job):
        """Tell whether the stream may go on at another chain.

        Events without an id name no place to go on from.
        """
        has_position = self.last_id is not None or not self.started
        return job.route.resumable and has_position

    def record_events(self, count, now):
        """Count events that were sent; return the pause before them."""
        pause_s = 0.0
        if self.first_event_at is None:
            self.first_event_at = now
        else:
            pause_s = now - self.last_event_at
            self.pauses_s.append(pause_s)
        self.last_event_at = now
        self.events += count
        return pause_s


def forward_events(forwarder, caller, stream, headers, events, pause_goal_s):
    """Send events to the caller; return Broken where they do not fit."""
    chunks = []
    for event in events:
        if event.id is not None and stream.last_id is not None:
            if event.id <= stream.last_id:
                return _sends.Broken(
                    f'event {event.id} after {stream.last_id}'
                )
        if event.id is not None:
            stream.last_id = event.id
        chunks.append(event.data)
    if not stream.started:
        caller.start_answer(200, headers)
        stream.started = True
    pause_s = stream.record_events(len(chunks), forwarder.now())
    forwarder.pressure.record_event(pause_s, pause_goal_s)
    caller.send_data(b''.join(chunks))
    return None
