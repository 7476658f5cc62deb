"""A stream ends as complete without its last event after a second answer."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib'))

import platform_standins as standins  # noqa: E402

_STREAMS = 160
_AT_ONCE = 4
_WAIT_S = 20.0

_EVENTS = 12
_EVENT_S = 0.02

# A garbled worker spoils at most one answer in so many: x = 0.05.
_ANSWERS_PER_EXTRA = 20


class Engine(standins.Worker):
    """An engine whose streams have no length and end with the channel.

    If garbled, it sends a second copy of some answers right after them.
    """

    garbled = False
    answers = 0
    extras = 0

    def __init__(self, name, layers, record):
        super().__init__(name, 'tessitore-llm', record, slots=96)
        self.kind = 'a100'
        self.layers = layers

    async def run(self, message, writer, channel):
        self.count_run(message)
        self.answers += 1
        is_extra = (
            self.garbled and self.extras < self.answers // _ANSWERS_PER_EXTRA
        )
        headers = [
            *self.make_headers(message),
            (standins.SEAL, 'c9f2a4d1'),
            ('Content-Type', 'text/event-stream'),
            ('Connection', 'close'),
        ]
        head = standins.make_response(200, headers, framed=False)
        first = int(message.headers.get(standins.LAST_EVENT, 0)) + 1
        events = [standins.make_event(n) for n in range(first, _EVENTS + 1)]
        writer.write(head)
        for event in events[:-1]:
            await asyncio.sleep(_EVENT_S)
            writer.write(event)
            await writer.drain()
        if events:
            await asyncio.sleep(_EVENT_S)
            writer.write(events[-1])
        if is_extra and events:
            self.extras += 1
            self.record.write('second answer after', message.id, self.id)
            writer.write(head + b''.join(events))
        return False


async def main(record):
    store = standins.Store()
    await store.start()
    engines = [
        Engine(f'i-{number:010x}', layers, record)
        for number, layers in enumerate(
            [(0, 40), (0, 40), (40, 80), (40, 80)], 1
        )
    ]
    for engine in engines:
        await engine.start()
        store.put('servers', engine.id, engine.make_entry())
    if standins.is_troubled():
        # share = 0.5 of the engines.
        engines[0].garbled = engines[2].garbled = True
    store.put('op', 'config', standins.make_configuration())
    entry = standins.Entry(store)
    answers = {}

    async def send_streams(channel, numbers):
        for number in numbers:
            request_id = standins.make_id()
            target = f'/weave-advice/{number}'
            record.write('sent', request_id, target)
            headers = standins.make_headers(
                request_id,
                _WAIT_S,
                **{
                    'X-Sniperudder-Model': 'daka510000',
                    'X-Sniperudder-Token-Count': '100,36',
                    'X-Sniperudder-Prefix-Hash': f'5c1e07a2:40,{number:x}:60',
                },
            )
            answer = await channel.ask(
                'POST', target, headers, b'x' * 100, _WAIT_S
            )
            answers[request_id] = answer
            record.write(
                'answered',
                request_id,
                answer and (answer.status, answer.complete),
                answer and standins.list_ids(answer.body)[-1:],
            )

    channels = [standins.Channel(entry.front) for _ in range(_AT_ONCE)]
    try:
        entry.start()
        await entry.wait_ready()
        await asyncio.sleep(3.5)
        await asyncio.gather(
            *(
                send_streams(channel, range(number, _STREAMS, _AT_ONCE))
                for number, channel in enumerate(channels)
            )
        )
    finally:
        for channel in channels:
            channel.close()
        entry.close()
        for server in (store, *engines):
            server.close()
    breaks = []
    whole = b''.join(standins.make_event(n) for n in range(1, _EVENTS + 1))
    for request_id, answer in answers.items():
        if answer is None or answer.status != 200 or not answer.complete:
            # Failed, or broken off visibly.
            continue
        if answer.body != whole:
            breaks.append(
                f'ORDER: stream {request_id} ended as complete with events '
                f'{standins.list_ids(answer.body)} of 1 to {_EVENTS}'
            )
    served = sum(
        answer is not None and answer.status == 200 and answer.complete
        for answer in answers.values()
    )
    for engine in engines:
        record.write(
            engine.id, engine.answers, 'answers,', engine.extras, 'garbled'
        )
    record.write(served, 'of', _STREAMS, 'streams ended as complete')
    if served < _STREAMS // 2:
        raise standins.Broken(f'only {served} streams served')
    return breaks


standins.run_case(FOLDER, main)
