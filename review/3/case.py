"""One entry of another writer ends all entry instances, again and again."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib'))

import platform_standins as standins  # noqa: E402

_RUN_S = 45.0
_INSTANCES = 2
_WAIT_S = 1.5
_INTERVAL_S = 0.05

# The platform starts a process that has ended again after a short delay.
_RESTART_S = 0.5
_POLL_S = 0.05
_MAX_ENDS = 3

# A number of 96 bits in place of the Unix millisecond of the start.
_FOREIGN_BORN = 0x66F2A1C45D0E8B7A91C3D5E7


class OrderWorker(standins.Worker):
    """A healthy worker of the ordering application."""

    async def run(self, message, writer, channel):
        self.count_run(message)
        await asyncio.sleep(0.0225)
        headers = [*self.make_headers(message), (standins.SEAL, 'c9f2a4d1')]
        writer.write(standins.make_response(200, headers, b'confirmed'))
        return True


def make_foreign_entry(record):
    """Return an entry of another writer, at whose address nothing listens.

    Some fields are missing, and one is of another type.
    """
    foreign = standins.Worker('i-foreign', 'ordini-app', record)
    foreign.ip = standins.make_loopback_ip()
    foreign.port = standins.find_port(foreign.ip)
    foreign.born = _FOREIGN_BORN
    entry = foreign.make_entry()
    for field in ('version', 'cold_left_ms', 'sequence'):
        del entry[field]
    return entry


async def keep_running(entry, record, ends):
    """Start a process again whenever it has ended, as the platform does."""
    while True:
        await asyncio.sleep(_POLL_S)
        if entry.returncode is None:
            continue
        faults = [
            line['subject'] for line in entry.list_events('instance:fault')
        ]
        ends[entry.name] += 1
        record.write('ended', entry.name, 'status', entry.returncode, faults)
        await asyncio.sleep(_RESTART_S)
        entry.start()
        record.write('started', entry.name)


async def send_orders(entry, record, statuses):
    """Send orders, one after another, on a channel that is kept."""
    channel = standins.Channel(entry.front)
    number = 0
    try:
        while True:
            request_id = standins.make_id()
            try:
                answer = await channel.ask(
                    'POST',
                    f'/order-confirm/{number}',
                    standins.make_headers(request_id, _WAIT_S),
                    b'order',
                    _WAIT_S,
                )
                status = answer and answer.status
            except OSError:
                status = None
            statuses.append(status)
            record.write('order', request_id, entry.name, status)
            number += 1
            await asyncio.sleep(_INTERVAL_S)
    finally:
        channel.close()


async def main(record):
    store = standins.Store()
    await store.start()
    workers = [
        OrderWorker(f'i-{number:010x}', 'ordini-app', record)
        for number in (1, 2, 3)
    ]
    for worker in workers:
        await worker.start()
        store.put('servers', worker.id, worker.make_entry())
    store.put('op', 'config', standins.make_configuration())
    entries = [
        standins.Entry(store, f'front-milano-a-{number}')
        for number in range(1, _INSTANCES + 1)
    ]
    ends = {entry.name: 0 for entry in entries}
    statuses = []
    tasks = []
    try:
        for entry in entries:
            entry.start()
        for entry in entries:
            await entry.wait_ready()
        await asyncio.sleep(3.5)
        for entry in entries:
            tasks += [
                asyncio.create_task(keep_running(entry, record, ends)),
                asyncio.create_task(send_orders(entry, record, statuses)),
            ]
        await asyncio.sleep(1.0)
        if standins.is_troubled():
            entry = make_foreign_entry(record)
            store.put('servers', 'i-foreign', entry)
            record.write('foreign entry', entry)
        await asyncio.sleep(_RUN_S)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for entry in entries:
            entry.close()
        for server in (store, *workers):
            server.close()
    served = statuses.count(200)
    record.write(served, 'of', len(statuses), 'orders answered with 200')
    record.write('ends by themselves', ends)
    if not served:
        raise standins.Broken('no order served')
    ended = [name for name, count in ends.items() if count >= _MAX_ENDS]
    if len(ended) >= 2:
        return [
            f'Fault: the processes of {len(ended)} of {_INSTANCES} machines '
            f'ended by themselves three times or more: {ends}'
        ]
    return []


standins.run_case(FOLDER, main)
