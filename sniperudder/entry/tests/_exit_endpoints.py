"""Endpoints that play an act, drawn from a seed, for each request."""

import asyncio
import random
import socket
import struct

import h11

from sniperudder.entry.tests import _exit_records
from standins import fleet as standins

__all__ = ['SILENCE_S', 'PlayedEndpoint', 'create_endpoints']

# Longest silence of an endpoint, seconds.
SILENCE_S = 1.3

_POLL_S = 0.02
_FRAMING = ('content-length:', 'transfer-encoding:')

_ENGINES = (
    ('gpu-1', 'big', (0, 8)),
    ('gpu-2', 'big', (0, 8)),
    ('gpu-3', 'half', (0, 4)),
    ('gpu-4', 'half', (4, 8)),
)

_ACTS = 6 * ('whole',) + 5 * ('silent',) + 4 * ('refuse',)
_ACTS += ('stalled', 'stalled', 'break', 'break', 'fail', 'slow')


def create_endpoints(case):
    """Return the endpoints of a case."""
    return [
        PlayedEndpoint(case, f'{name}-{number}', name)
        for name in ('desk', 'kiosk')
        for number in range(3)
    ] + [
        PlayedEndpoint(case, name, 'llm', kind, layers)
        for name, kind, layers in _ENGINES
    ]


def _read_id(request):
    return standins.read_header(request, 'x-sniperudder-request-id')


class PlayedEndpoint(standins.EndpointStandin):
    """An endpoint that plays an act, drawn from the seed, for each request."""

    def __init__(self, case, name, service, accelerator='', layers=None):
        super().__init__(name, service, accelerator=accelerator)
        self.layers = layers
        self.silent_until = 0.0
        self.is_lapsed = False
        self._case = case

    def lapse(self):
        """Have the platform remove the entry of this endpoint."""
        self.is_lapsed = True
        self._case.store.put('servers', self.id, None)

    def list_again(self, order=None):
        """Write the entry, unless it has lapsed and the time has not come."""
        if not self.is_lapsed:
            self.list_in(self._case.store)

    def end_lapse(self):
        """Write the entry that had lapsed."""
        self.is_lapsed = False
        self.list_again()

    def make_report(self):
        """See base class."""
        return {**super().make_report(), 'born': self.born}

    async def respond(self, request, body, http, writer):
        """See base class."""
        await self._pause(writer, 0.0)
        await super().respond(request, body, http, writer)

    async def respond_normally(self, request, http, writer):
        """See base class."""
        body = self.requests[-1][1]
        request_id = _read_id(request)
        runs = self._case.runs.setdefault(request_id, [])
        rng = random.Random(f'{self._case.seed} {request_id} {len(runs)}')
        # A second run often breaks off after its first piece.
        acts = (*_ACTS, *6 * ('break early',)) if runs else _ACTS
        run = _exit_records.Run(self.id, rng.choice(acts), self._case.now())
        runs.append(run)
        try:
            target = request.target.decode()
            pieces = _exit_records.list_pieces(request_id, target, body)
            await self._play(run, rng, request, pieces, http, writer)
        except OSError:
            if run.end == 'open':
                run.end = 'left'
            raise
        finally:
            run.ended_at = self._case.now()

    async def _play(self, run, rng, request, pieces, http, writer):
        streaming = request.target.startswith((b'/stream', b'/once'))
        last_id = standins.read_header(request, 'last-event-id') or 0
        pieces = pieces[int(last_id) :]
        if run.act == 'refuse':
            run.status, run.end = 503, 'refused'
            retry_after = None
            if rng.random() < 0.3:
                retry_after = f'{rng.uniform(0.1, 0.8):.1f}'
            await self.refuse(retry_after)(request, http, writer)
            return
        run.status = 200
        if run.act == 'fail':
            run.status, pieces = 500, [b'bad']
        elif not streaming and rng.random() < 0.15:
            run.status, pieces = rng.choice((204, 304)), []
        if request.method == b'HEAD':
            pieces = []
        # -1 stands for before the head.
        turn = rng.randint(-1, len(pieces))
        if run.act == 'break early':
            turn = min(1, len(pieces))
        if turn < 0:
            await self._take_turn(run, rng, request, writer)
        write = self._start(run, rng, streaming, request, pieces, http, writer)
        await self._pause(writer, 0.0)
        for index, piece in enumerate(pieces):
            if turn == index:
                await self._take_turn(run, rng, request, writer)
            pause_s = 0.4 if run.act == 'slow' else rng.uniform(0.0, 0.04)
            await self._pause(writer, pause_s)
            write(piece)
            run.sent_at.append(self._case.now())
            await writer.drain()
        if turn == len(pieces):
            await self._take_turn(run, rng, request, writer)
        run.end = 'failed' if run.act == 'fail' else 'whole'
        write(None)

    def _start(self, run, rng, streaming, request, pieces, http, writer):
        """Send the head; return the function that sends a piece, or None."""
        headers = [*standins.make_seal(request), *self.notices]
        without_length = pieces and rng.random() < 0.2
        if streaming:
            headers.append(('Transfer-Encoding', 'chunked'))
        elif run.status not in (204, 304):
            length = sum(len(piece) for piece in pieces)
            headers.append(('Content-Length', str(length)))
        head = h11.Response(status_code=run.status, headers=headers)
        data = http.send(head)
        if without_length:
            lines = data.decode().split('\r\n')
            lines = [i for i in lines if not i.lower().startswith(_FRAMING)]
            data = '\r\n'.join(lines).encode()
        writer.write(data)

        def send(piece):
            if without_length and piece is None:
                # A plain endpoint can't show that it still runs without its
                # entry.
                run.is_unlisted = self.is_lapsed and self.layers is None
                raise OSError('the end of an answer without length')
            event = h11.EndOfMessage() if piece is None else h11.Data(piece)
            writer.write(piece if without_length else http.send(event))

        return send

    async def _take_turn(self, run, rng, request, writer):
        """Fall silent or break off, as the act says."""
        if run.act.startswith('break'):
            run.end = 'broke'
            # Close with a reset, which no answer without length survives.
            writer.get_extra_info('socket').setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
            writer.transport.abort()
            raise OSError('broken off by the act')
        silence_s = rng.uniform(0.2, SILENCE_S)
        path = standins.read_header(request, 'x-sniperudder-hop-count') or ''
        if run.act == 'silent':
            if rng.random() < 0.5:
                self.silent_until = self._case.now() + silence_s
            await self._pause(writer, silence_s)
        elif run.act == 'stalled':
            address = path.split(',')[-1].partition('=')[0]
            entry = {'id': _read_id(request), 'address': address}
            self.stalled.append(entry)
            try:
                await self._pause(writer, silence_s)
            finally:
                self.stalled.remove(entry)

    async def _pause(self, writer, silence_s):
        """Wait, and until the silence of this endpoint is over as well."""
        ends_at = self._case.now() + silence_s
        while True:
            if self.has_left(writer):
                raise ConnectionError('the caller left')
            left_s = max(ends_at, self.silent_until) - self._case.now()
            if left_s <= 0.0:
                return
            await asyncio.sleep(min(left_s, _POLL_S))
