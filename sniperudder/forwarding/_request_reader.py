"""Parsing of the bytes of one caller into requests."""

import h11

__all__ = ['RequestReader']

# Bytes that are handed to the parser at once. It copies what it holds for
# each request, which would take quadratic time if it held all.
_PIECE_BYTES = 16_384

# Brings a new parser into the state in which it accepts a response.
_PLACEHOLDER_REQUEST = b'GET / HTTP/1.1\r\nHost: -\r\n\r\n'


class RequestReader:
    """Holds the bytes that a caller has sent, and parses them piece by piece.

    Parameters
    ----------
    max_header_bytes : int
        Limit for a head that is not complete.

    Attributes
    ----------
    http : h11.Connection
        Encodes the responses.

    Examples
    --------
    >>> reader = RequestReader(1_000)
    >>> reader.receive(b'GET / HTTP/1.1\\r\\nHost: a\\r\\n\\r\\nGET')
    >>> type(reader.next_event()).__name__, reader.unparsed_bytes
    ('Request', 3)
    """

    __slots__ = ('_input', '_parser_bytes', 'http')

    def __init__(self, max_header_bytes):
        self.http = _create_parser(max_header_bytes)
        self._input = bytearray()
        # Upper bound of what the parser holds.
        self._parser_bytes = 0

    @property
    def unparsed_bytes(self):
        """Number of bytes that belong to no event yet, or slightly more."""
        return len(self._input) + self._parser_bytes

    def receive(self, data):
        """Add bytes, which `next_event` parses."""
        self._input += data

    def next_event(self):
        """Return the next h11 event, or `h11.NEED_DATA`.

        Raises
        ------
        h11.RemoteProtocolError
            If the bytes are not valid HTTP.
        """
        while True:
            event = self.http.next_event()
            if event is not h11.NEED_DATA:
                if not isinstance(event, h11.Data):
                    self._measure_parser()
                return event
            if self.http.their_state is h11.SEND_BODY:
                # It holds the beginning of a line between two chunks at most.
                self._measure_parser()
            if not self._input:
                return event
            piece = bytes(self._input[:_PIECE_BYTES])
            del self._input[:_PIECE_BYTES]
            self._parser_bytes += len(piece)
            self.http.receive_data(piece)

    def start_next_request(self):
        """Prepare for another request after a complete response."""
        self.http.start_next_cycle()

    def replace_parser(self, max_header_bytes):
        """Parse what is at hand, and what follows, with another limit.

        Between two requests only.
        """
        rest, _ = self.http.trailing_data
        self.http = _create_parser(max_header_bytes)
        self._input[:0] = rest
        self._parser_bytes = 0

    def discard(self):
        """Drop the bytes that the parser has not seen."""
        self._input = bytearray()

    def accept_response(self):
        """Have a new parser accept a response to the current request."""
        self.http = _create_parser(None)
        self.http.receive_data(_PLACEHOLDER_REQUEST)
        while self.http.their_state is not h11.DONE:
            self.http.next_event()

    def _measure_parser(self):
        self._parser_bytes = len(self.http.trailing_data[0])


def _create_parser(max_header_bytes):
    if max_header_bytes is None:
        return h11.Connection(h11.SERVER)
    return h11.Connection(
        h11.SERVER, max_incomplete_event_size=max_header_bytes
    )
