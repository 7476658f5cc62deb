"""Callers of a scenario and what each of them got."""

import dataclasses
import enum
import itertools
import json
import threading
import time

import urllib3

from scenarios import _settings

_TIMEOUT_S = 60.0
_DONE = b'data: [DONE]'
_DATA = b'data: '


class Ending(enum.Enum):
    """How a caller's work ended, as the caller saw it."""

    ANSWERED = 'answered'
    REFUSED = 'refused'
    FAILED = 'failed'
    IN_DOUBT = 'in doubt'
    UNREACHED = 'unreached'


_ENDINGS = {
    'not run': Ending.REFUSED,
    'ran': Ending.FAILED,
    'in doubt': Ending.IN_DOUBT,
}


@dataclasses.dataclass(slots=True)
class Work:
    """One request or order of a caller.

    Attributes
    ----------
    number : int
    rank, organisation : str
    body : str
        Prompt of a request, body of an order; unique to it.
    tokens : int
        Tokens asked for; 0 for an order.
    service : str
        Empty for a request.
    key : str
        Idempotency key of an order.
    request : str
        Identifier that the entry instance gave it.
    pieces : list of str
        Tokens received, or the answer to an order.
    ending : Ending or None
        None while there is no outcome.
    code : int
        Result code; 0 where none came.
    elapsed_s : float
        Until the outcome, seconds.
    problem : str
        Error of the connection, where one ended the call.
    """

    number: int
    rank: str
    organisation: str
    body: str
    tokens: int = 0
    service: str = ''
    key: str = ''
    request: str = ''
    pieces: list = dataclasses.field(default_factory=list)
    ending: Ending | None = None
    code: int = 0
    elapsed_s: float = 0.0
    problem: str = ''


class Callers:
    """Sends work in the background through the entry instances.

    Parameters
    ----------
    list_entries : callable
        Returns pairs of name and ``host:port`` of the entry instances
        that the balancer gives work to.
    model : str

    Attributes
    ----------
    work : list of Work
    """

    def __init__(self, list_entries, model):
        self._list_entries = list_entries
        self._model = model
        self._pool = urllib3.PoolManager(num_pools=64, maxsize=256)
        self._turn = itertools.count()
        self._numbers = itertools.count(1)
        self._threads = []
        self.work = []

    def send(self, send):
        """Begin a ``Send`` in the background."""
        batch = [
            self._create_request(send, next(self._numbers))
            for _ in range(send.count)
        ]
        self._begin(batch, send)

    def order(self, order):
        """Begin an ``Order`` in the background."""
        batch = [
            self._create_order(order, next(self._numbers))
            for _ in range(order.count)
        ]
        self._begin(batch, order)

    def _create_request(self, send, number):
        prompt = send.prompt or f'{send.organisation} asks no. {number}:'
        return Work(number, send.rank, send.organisation, prompt, send.tokens)

    def _create_order(self, order, number):
        key = order.key or f'order-{number}'
        body = f'{order.organisation}/{key}'
        return Work(
            number,
            'middle',
            order.organisation,
            body,
            service=order.service,
            key=key,
        )

    def _begin(self, batch, statement):
        self.work += batch
        pacer = threading.Thread(
            target=self._pace, args=(batch, statement), daemon=True
        )
        self._threads.append(pacer)
        pacer.start()

    def _pace(self, batch, statement):
        begin_at = time.monotonic()
        for place, work in enumerate(batch):
            pause_s = begin_at + place / statement.rate - time.monotonic()
            time.sleep(max(pause_s, 0))
            threading.Thread(
                target=self._run, args=(work, statement.through), daemon=True
            ).start()

    def count_open(self):
        """Return the number of works without an outcome."""
        return sum(work.ending is None for work in self.work)

    def _run(self, work, through):
        begin_at = time.monotonic()
        ending = Ending.IN_DOUBT
        try:
            ending = self._call(work, self._choose_address(through))
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
            LookupError,
        ) as error:
            ending = Ending.UNREACHED
            work.problem = repr(error)
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            ending = Ending.IN_DOUBT
            work.problem = repr(error)
        work.elapsed_s = time.monotonic() - begin_at
        work.ending = ending

    def _choose_address(self, through):
        entries = dict(self._list_entries())
        if through:
            return entries[through]
        names = sorted(entries)
        if not names:
            raise LookupError('no entry instance runs')
        return entries[names[next(self._turn) % len(names)]]

    def _call(self, work, address):
        key = _settings.make_key(work.organisation, work.rank)
        headers = {'Authorization': f'Bearer {key}'}
        if work.service:
            path, body = f'/services/{work.service}', work.body
            headers['Idempotency-Key'] = work.key
        else:
            path, body = (
                '/v1/completions',
                json.dumps(
                    {
                        'model': self._model,
                        'prompt': work.body,
                        'max_tokens': work.tokens,
                        'stream': True,
                    }
                ),
            )
        response = self._pool.request(
            'POST',
            f'http://{address}{path}',
            body=body.encode(),
            headers=headers,
            timeout=urllib3.Timeout(connect=2, read=_TIMEOUT_S),
            retries=False,
            preload_content=False,
        )
        try:
            return _read_answer(work, response)
        finally:
            response.close()


def _read_answer(work, response):
    work.request = response.headers.get('X-Request-Id', '')
    if response.status != 200:
        data = response.read()
        try:
            return _read_error(work, json.loads(data))
        except (ValueError, LookupError):
            work.problem = f'HTTP {response.status}: {data[:80]}'
            return Ending.IN_DOUBT
    if work.service:
        work.code = int(response.headers.get('X-Result-Code', 0))
        work.pieces.append(response.read().decode())
        return Ending.ANSWERED
    return _read_stream(work, response)


def _read_stream(work, response):
    for line in _split_lines(response):
        if line == _DONE:
            return Ending.ANSWERED
        if not line.startswith(_DATA):
            continue
        piece = json.loads(line.removeprefix(_DATA))
        if 'error' in piece:
            return _read_error(work, piece)
        text = piece['choices'][0]['text']
        if text:
            work.pieces.append(text)
    # The stream broke off without an outcome.
    return Ending.IN_DOUBT


def _split_lines(response):
    rest = b''
    while data := response.read1():
        *lines, rest = (rest + data).split(b'\n')
        yield from lines


def _read_error(work, body):
    error = body['error']
    work.code = int(error['code'])
    return _ENDINGS[error['class']]
