"""Tests of which events reach the caller and count as sent."""

import types

import testtools

from sniperudder.forwarding import _events
from sniperudder.forwarding import _progress

_EVENTS = [b'id: %d\ndata: %d\n\n' % (n, n) for n in range(1, 5)]
_HEAD = b'HTTP/1.1 200 OK\r\nX-Sniperudder-Request-Id: 1\r\n\r\n'


class RecordingCaller:
    """Keeps what is sent to the caller."""

    def __init__(self):
        self.body = b''

    def start_response(self, status, headers):
        """See `CallerConnection`."""

    def send_data(self, data):
        """See `CallerConnection`."""
        self.body += data


def forward_reads(reads, resumed_after=None):
    """Forward a body that arrives in several reads.

    Returns
    -------
    caller : RecordingCaller
    stream : StreamProgress
    interrupted : Interrupted or None
    """
    forwarder = types.SimpleNamespace(
        now=lambda: 0.0,
        load_shedder=types.SimpleNamespace(record_event=lambda *_: None),
    )
    caller = RecordingCaller()
    stream = _progress.StreamProgress(resumed_after)
    splitter = _events.EventSplitter()
    for read in reads:
        events = splitter.feed(read)
        if not events:
            continue
        _, interrupted = _progress.forward_events(
            forwarder, caller, stream, [], events, 0.2
        )
        if interrupted is not None:
            return caller, stream, interrupted
    return caller, stream, None


class SecondAnswerTest(testtools.TestCase):
    """A second answer follows the events of a stream without a length."""

    def check_reads(self, reads, resumed_after=0):
        caller, stream, interrupted = forward_reads(reads, resumed_after)
        expected = b''.join(_EVENTS[resumed_after:])
        self.assertEqual(expected, caller.body)
        self.assertEqual(len(_EVENTS), stream.last_id)
        self.assertEqual(len(_EVENTS) - resumed_after, stream.events)
        return interrupted

    # Guards against: the events of a read that also held a second answer were
    # not sent but counted as sent, so the stream was resumed after them.
    def test_events_before_it_are_sent_however_the_bytes_arrive(self):
        whole = b''.join(_EVENTS)
        for extra in (whole, _HEAD + whole, _HEAD + _EVENTS[-1]):
            data = whole + extra
            for split in range(len(data) + 1):
                reads = [data[:split], data[split:]]
                interrupted = self.check_reads(reads)
                self.assertIsNotNone(interrupted, split)

    def test_resumed_stream_keeps_its_position(self):
        data = b''.join(_EVENTS[2:]) + _HEAD + b''.join(_EVENTS)
        for split in range(len(data) + 1):
            self.check_reads([data[:split], data[split:]], resumed_after=2)

    # Guards against: bytes that are no event of the stream were passed on.
    def test_event_without_an_id_does_not_continue_the_stream(self):
        reads = [b''.join(_EVENTS) + b'junk\n\n' * 3]
        interrupted = self.check_reads(reads)
        self.assertIn('without an id', interrupted.reason)

    def test_rejected_events_leave_the_position_unchanged(self):
        caller, stream, interrupted = forward_reads([_EVENTS[0]], 3)
        self.assertEqual((b'', 3, 0), (caller.body, stream.last_id, 0))
        self.assertFalse(stream.started)
        self.assertIsNotNone(interrupted)
