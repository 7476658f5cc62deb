"""An order is run twice after a late second copy of a refusal."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib'))

import platform_standins as standins  # noqa: E402

_RUN_S = 65.0
_INSTANCES = 2
_INTERVAL_S = 0.035

# The workers are full at each so many-th order of an instance.
_BURST_EVERY = 30
_WAIT_S = 1.5
_WORK_S = 0.0225

# Requests of other machines then fill all of them for so long.
_FULL_S = 0.1

# A garbled worker spoils at most one answer in so many: x = 0.05.
_ANSWERS_PER_EXTRA = 20


class OrderWorker(standins.Worker):
    """A worker of the ordering application.

    While it is full, it refuses with 503 and X-Sniperudder-Not-Executed. If
    garbled, it sends a second copy of some refusals late, at the point where
    the next response on the channel is expected.
    """

    full_until = 0.0
    garbled = False
    answers = 0
    extras = 0

    async def run(self, message, writer, channel):
        late = channel.pop('late', None)
        if late is not None:
            self.record.write('second copy of', late[0], 'by', self.id)
            writer.write(late[1])
        headers = self.make_headers(message)
        self.answers += 1
        now = asyncio.get_running_loop().time()
        if now < self.full_until:
            refusal = standins.make_response(
                503, [*headers, (standins.NOT_RUN, '1')]
            )
            writer.write(refusal)
            self.record.write('refused', self.id, message.id)
            allowed = self.answers // _ANSWERS_PER_EXTRA
            if self.garbled and self.extras < allowed:
                self.extras += 1
                channel['late'] = message.id, refusal
            return True
        self.count_run(message)
        await asyncio.sleep(_WORK_S)
        body = b'confirmed ' + message.body
        headers.append((standins.SEAL, f'{len(body):x}'))
        writer.write(standins.make_response(200, headers, body))
        return True


async def send_orders(entry, workers, record, answers):
    """Send orders, one after another, on a channel that is kept."""
    loop = asyncio.get_running_loop()
    end = loop.time() + _RUN_S
    channel = standins.Channel(entry.front)
    number = 0
    try:
        while loop.time() < end:
            number += 1
            request_id = standins.make_id()
            if number % _BURST_EVERY == 0:
                for worker in workers:
                    worker.full_until = loop.time() + _FULL_S
            record.write('sent', request_id, entry.name)
            answer = await channel.ask(
                'POST',
                f'/order-confirm/{number}',
                standins.make_headers(request_id, _WAIT_S),
                b'order %d' % number,
                _WAIT_S,
            )
            answers[request_id] = answer and answer.status
            record.write('answered', request_id, answer and answer.status)
            await asyncio.sleep(_INTERVAL_S)
    finally:
        channel.close()


async def main(record):
    store = standins.Store()
    await store.start()
    workers = [
        OrderWorker(f'i-{n:010x}', 'ordini-app', record) for n in (1, 2, 3)
    ]
    for worker in workers:
        await worker.start()
        store.put('servers', worker.id, worker.make_entry())
    if standins.is_troubled():
        # One of three workers; share is at most 0.6.
        workers[0].garbled = True
    store.put('op', 'config', standins.make_configuration())
    entries = [
        standins.Entry(store, f'front-milano-a-{number}')
        for number in range(1, _INSTANCES + 1)
    ]
    answers = {}
    try:
        for entry in entries:
            entry.start()
        for entry in entries:
            await entry.wait_ready()
        await asyncio.sleep(3.5)
        await asyncio.gather(
            *(
                send_orders(entry, workers, record, answers)
                for entry in entries
            )
        )
        await asyncio.sleep(1.0)
    finally:
        for entry in entries:
            entry.close()
        for server in (store, *workers):
            server.close()
    breaks = []
    for request_id, status in answers.items():
        runs = sum(worker.runs.get(request_id, 0) for worker in workers)
        if runs > 1:
            breaks.append(
                f'TWICE: order {request_id} ran {runs} times, '
                f'answered {status}'
            )
        if runs and status in (408, 421, 429, 503):
            breaks.append(
                f'REFUSED: order {request_id} answered {status}, ran {runs}'
            )
    served = sum(status == 200 for status in answers.values())
    for worker in workers:
        record.write(
            worker.id, worker.answers, 'answers,', worker.extras, 'garbled'
        )
    record.write(served, 'of', len(answers), 'orders answered with 200')
    if served < len(answers) // 2:
        raise standins.Broken(f'only {served} orders served')
    return breaks


standins.run_case(FOLDER, main)
