"""A worker's leaving is missed while a long list is read in two pages."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib'))

import platform_standins as standins  # noqa: E402

# Entries of workers of another service, which gets no requests here.
_OTHER_WORKERS = 520
_WORKERS = 8
# share = 0.25 of the service's workers.
_LEAVING = 2

# The store is slow: 4 ms x 60 an answer, for 4.5 s at most.
_SLOW_S = 0.24
_SLOW_FOR_S = 4.5
_USUAL_S = 0.004

_DRAIN_S = 2.0
_CONTACT_S = 3.0
_WAIT_S = 1.5
_REQUESTS = 100
_INTERVAL_S = 0.03


class OrderWorker(standins.Worker):
    """A worker of the ordering application."""

    drained_at = None

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.arrivals = []

    async def run(self, message, writer, channel):
        self.count_run(message)
        self.arrivals.append((time.monotonic(), message.id))
        await asyncio.sleep(0.0225)
        headers = [*self.make_headers(message), (standins.SEAL, 'c9f2a4d1')]
        writer.write(standins.make_response(200, headers, b'confirmed'))
        return not self.leaving


async def main(record):
    store = standins.Store()
    await store.start()
    workers = [
        OrderWorker(f'i-{number:010x}', 'ordini-app', record)
        for number in range(_WORKERS)
    ]
    for worker in workers:
        await worker.start()
        store.put('servers', worker.id, worker.make_entry())
    for number in range(_OTHER_WORKERS):
        other = standins.Worker(f'j-{number:010x}', 'archivio-app', record)
        other.port = 1
        store.put('servers', other.id, other.make_entry())
    configuration = standins.make_configuration()
    configuration['services'].append(
        {**configuration['services'][1], 'name': 'archivio-app'}
    )
    store.put('op', 'config', configuration)
    store.delay_s = _SLOW_S
    slow_since = time.monotonic()
    pages = []

    def drain():
        for worker in workers[:_LEAVING]:
            worker.leaving = True
            worker.drained_at = time.monotonic()
            version = store.put('servers', worker.id, worker.make_entry())
            record.write('draining', worker.id, 'version', version)

    def handle_page(query, reply):
        if query['table'] != 'servers':
            return
        pages.append(query)
        record.write(
            'page', query.get('from', ''), 'version', reply['row_version']
        )
        if len(pages) == 1 and standins.is_troubled():
            # Between the moments of which the two pages are.
            asyncio.get_running_loop().call_later(_SLOW_S / 4, drain)

    store.on_page = handle_page
    entry = standins.Entry(store)
    channel = standins.Channel(entry.front)
    statuses = []
    try:
        entry.start()
        await entry.wait_ready()
        if not standins.is_troubled():
            # The same workers leave, but not while the list is read.
            drain()
        await asyncio.sleep(
            max(0.0, slow_since + _SLOW_FOR_S - time.monotonic())
        )
        store.delay_s = _USUAL_S
        record.write('the store is no longer slow')
        await asyncio.sleep(_CONTACT_S + 0.3)
        in_touch_at = time.monotonic()
        record.write('in touch')
        for number in range(_REQUESTS):
            request_id = standins.make_id()
            record.write('sent', request_id)
            answer = await channel.ask(
                'POST',
                f'/order-confirm/{number}',
                standins.make_headers(request_id, _WAIT_S),
                b'order',
                _WAIT_S,
            )
            statuses.append(answer and answer.status)
            record.write('answered', request_id, statuses[-1])
            await asyncio.sleep(_INTERVAL_S)
    finally:
        channel.close()
        entry.close()
        for server in (store, *workers):
            server.close()
    if statuses.count(200) < _REQUESTS // 2:
        raise standins.Broken(f'only {statuses.count(200)} orders served')
    if len(pages) < 2:
        raise standins.Broken('the list was read in one page')
    return [
        f'DRAIN: order {request_id} reached {worker.id} '
        f'{at - worker.drained_at:.2f} s after the store had acknowledged '
        f'that it is draining'
        for worker in workers[:_LEAVING]
        for at, request_id in worker.arrivals
        if at >= in_touch_at and at - worker.drained_at > _DRAIN_S
    ]


standins.run_case(FOLDER, main)
