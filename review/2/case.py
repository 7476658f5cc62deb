"""One answer without end makes an entry instance hang for seconds."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib'))

import platform_standins as standins  # noqa: E402

_RUN_S = 30.0

_STREAM_INTERVAL_S = 0.2
_STREAM_WAIT_S = 20.0
# Clients leave after a gap of two seconds.
_GAP_S = 2.0

_ORDER_INTERVAL_S = 0.1
_ORDER_WAIT_S = 1.5
_ROUTE_TIMEOUT_S = 0.8
_LATER_S = 0.5
_MIN_UNANSWERED = 8

_EVENTS = 12
_EVENT_S = 0.02

# A garbled worker spoils at most one answer in so many: x = 0.05.
_ANSWERS_PER_SPOILT = 20

# Bytes that are no event, in chunks of about the size of a token.
_JUNK = b'x' * 24


class Engine(standins.Worker):
    """An engine; if garbled, some answers go on as junk without end."""

    garbled = False
    answers = 0
    spoilt = 0

    def __init__(self, name, layers, record):
        super().__init__(name, 'tessitore-llm', record, slots=96)
        self.kind = 'a100'
        self.layers = layers

    async def run(self, message, writer, channel):
        self.count_run(message)
        self.answers += 1
        is_spoilt = (
            self.garbled and self.spoilt < self.answers // _ANSWERS_PER_SPOILT
        )
        headers = [
            *self.make_headers(message),
            (standins.SEAL, 'c9f2a4d1'),
            ('Content-Type', 'text/event-stream'),
            ('Transfer-Encoding', 'chunked'),
        ]
        writer.write(standins.make_response(200, headers, framed=False))
        first = int(message.headers.get(standins.LAST_EVENT, 0)) + 1
        for number in range(first, _EVENTS + 1):
            await asyncio.sleep(_EVENT_S)
            writer.write(make_chunk(standins.make_event(number)))
            await writer.drain()
            if is_spoilt and number >= _EVENTS // 2:
                self.spoilt += 1
                self.record.write('junk without end', message.id, self.id)
                await self._send_junk(message, writer)
        writer.write(make_chunk(b''))
        return True

    async def _send_junk(self, message, writer):
        junk = make_chunk(_JUNK) * 100
        sent = 0
        try:
            while True:
                writer.write(junk)
                await writer.drain()
                sent += len(junk)
                await asyncio.sleep(0.0)
        finally:
            self.record.write('junk ended', message.id, sent, 'bytes')


class OrderWorker(standins.Worker):
    """A healthy worker of the ordering application."""

    async def run(self, message, writer, channel):
        self.count_run(message)
        await asyncio.sleep(0.0225)
        headers = [*self.make_headers(message), (standins.SEAL, 'c9f2a4d1')]
        writer.write(standins.make_response(200, headers, b'confirmed'))
        return True


def make_chunk(data):
    return b'%x\r\n%s\r\n' % (len(data), data)


async def main(record):
    store = standins.Store()
    await store.start()
    engines = [
        Engine(f'i-{number:010x}', layers, record)
        for number, layers in enumerate(
            [(0, 40), (0, 40), (40, 80), (40, 80)], 1
        )
    ]
    workers = [
        OrderWorker(f'i-{number:010x}', 'ordini-app', record)
        for number in (11, 12, 13)
    ]
    for worker in (*engines, *workers):
        await worker.start()
        store.put('servers', worker.id, worker.make_entry())
    engines[0].garbled = standins.is_troubled()
    store.put('op', 'config', standins.make_configuration())
    entry = standins.Entry(store)
    orders = []
    missed = []
    tasks = set()

    async def send_stream(number):
        request_id = standins.make_id()
        target = f'/weave-advice/{number}'
        record.write('sent', request_id, target)
        headers = standins.make_headers(
            request_id,
            _STREAM_WAIT_S,
            **{
                'X-Sniperudder-Model': 'daka510000',
                'X-Sniperudder-Token-Count': '100,36',
                'X-Sniperudder-Prefix-Hash': f'5c1e07a2:40,{number:x}:60',
            },
        )
        channel = standins.Channel(entry.front)
        answer = await channel.ask(
            'POST', target, headers, b'x' * 100, _STREAM_WAIT_S, _GAP_S
        )
        channel.close()
        record.write('answered', request_id, answer and answer.status)

    async def send_order(number):
        request_id = standins.make_id()
        target = f'/order-confirm/{number}'
        record.write('sent', request_id, target)
        headers = standins.make_headers(request_id, _ORDER_WAIT_S)
        channel = standins.Channel(entry.front)
        sent_at = time.monotonic()
        answer = await channel.ask(
            'POST', target, headers, b'order', _ORDER_WAIT_S
        )
        elapsed_s = time.monotonic() - sent_at
        channel.close()
        status = answer and answer.status
        orders.append((elapsed_s, status))
        record.write('answered', request_id, status, f'{elapsed_s:.3f} s')

    async def probe():
        """Ask for readiness, as the platform does once a second."""
        channel = standins.Channel(entry.ready)
        answer = await channel.ask('GET', '/readiness', {}, wait_s=1.0)
        channel.close()
        missed.append(answer is None or answer.status != 200)

    async def send_regularly(send, interval_s):
        number = 0
        while True:
            task = asyncio.create_task(send(number))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            number += 1
            await asyncio.sleep(interval_s)

    try:
        entry.start()
        await entry.wait_ready()
        await asyncio.sleep(3.5)
        senders = [
            asyncio.create_task(
                send_regularly(send_stream, _STREAM_INTERVAL_S)
            ),
            asyncio.create_task(send_regularly(send_order, _ORDER_INTERVAL_S)),
            asyncio.create_task(send_regularly(lambda number: probe(), 1.0)),
        ]
        await asyncio.sleep(_RUN_S)
        for sender in senders:
            sender.cancel()
        await asyncio.wait(tasks, timeout=3.0)
    finally:
        for task in tasks:
            task.cancel()
        entry.close()
        for server in (store, *engines, *workers):
            server.close()
    over = [
        elapsed_s for elapsed_s, _ in orders if elapsed_s > _ROUTE_TIMEOUT_S
    ]
    unanswered = [
        elapsed_s
        for elapsed_s in over
        if elapsed_s > _ROUTE_TIMEOUT_S + _LATER_S
    ]
    served = sum(status == 200 for _, status in orders)
    record.write(len(orders), 'orders,', served, 'answered with 200,')
    record.write(len(over), 'unanswered after the timeout of the route,')
    record.write(len(unanswered), 'of them 0.5 s later')
    record.write(sum(missed), 'of', len(missed), 'readiness probes missed')
    record.write(engines[0].spoilt, 'of', engines[0].answers, 'answers spoilt')
    if served < 10:
        raise standins.Broken('hardly any order served')
    if len(unanswered) >= _MIN_UNANSWERED and 2 * len(unanswered) > len(over):
        return [
            f'CONFIG: of {len(over)} orders unanswered at the timeout of '
            f'their route, {len(unanswered)} had no answer 0.5 s later; '
            f'{sum(missed)} of {len(missed)} readiness probes were missed; '
            f'{engines[0].spoilt} answers were without end'
        ]
    return []


standins.run_case(FOLDER, main)
