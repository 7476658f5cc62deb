"""HTTP messages as callers and endpoints of the tests send them."""

import asyncio

import h11

_READ_BYTES = 65_536
_SEAL = 'x-sniperudder-response-seal'
REQUEST_ID = 'x-sniperudder-request-id'
PREFIX_HASH = 'x-sniperudder-prefix-hash'
NOT_RUN = 'x-sniperudder-not-executed'


def make_seal(request):
    """Return the request id and seal headers required in every response."""
    request_id = read_header(request, REQUEST_ID) or ''
    return [(REQUEST_ID, request_id), (_SEAL, 'seal')]


def read_header(request, wanted):
    """Return the value of a header, or None."""
    for name, value in request.headers:
        if name == wanted.encode():
            return value.decode()
    return None


def read_shared_parts(request):
    """Return the ids of all parts of the prompt but the last."""
    entries = (read_header(request, PREFIX_HASH) or '').split(',')
    return [entry.partition(':')[0] for entry in entries[:-1]]


async def send_request(
    address, target, method='POST', body=b'x', headers=(), wait_ms=1_500
):
    """Send a request as a caller does, and read the whole response.

    Returns
    -------
    status : int
    headers : dict of str to str
    body : bytes

    Raises
    ------
    h11.RemoteProtocolError
        If the response ended early.
    """
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    http = h11.Connection(h11.CLIENT)
    sent = [
        ('Host', 'shop.example'),
        (REQUEST_ID, 'r-1'),
        ('X-Sniperudder-Request-Deadline', str(wait_ms)),
        ('Authorization', 'Token key-1'),
        ('Content-Length', str(len(body))),
        *headers,
    ]
    # A later header replaces an earlier one.
    merged = {name.lower(): (name, value) for name, value in sent}
    request = h11.Request(
        method=method, target=target, headers=list(merged.values())
    )
    writer.write(http.send(request))
    writer.write(http.send(h11.Data(data=body)))
    writer.write(http.send(h11.EndOfMessage()))
    try:
        head, response = await read_message(http, reader)
    finally:
        writer.close()
    found = {name.decode(): value.decode() for name, value in head.headers}
    return head.status_code, found, response


async def read_message(http, reader):
    """Read a whole message; return its head and body."""
    head, pieces = None, []
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            http.receive_data(await reader.read(_READ_BYTES))
        elif isinstance(event, (h11.Request, h11.Response)):
            head = event
        elif isinstance(event, h11.Data):
            pieces.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            return head, b''.join(pieces)
        elif isinstance(event, h11.ConnectionClosed):
            return None, b''


def write_response(http, writer, status, body, headers):
    """Write a whole response with a Content-Length header."""
    headers = [('Content-Length', str(len(body))), *headers]
    writer.write(
        http.send(h11.Response(status_code=status, headers=headers))
        + http.send(h11.Data(data=body))
        + http.send(h11.EndOfMessage())
    )
