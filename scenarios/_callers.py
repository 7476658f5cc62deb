"""Simulated callers of a scenario and the outcomes they receive."""

import dataclasses
import enum
import itertools
import json
import threading
import time

import urllib3

from scenarios import _settings

_TIMEOUT_S = 60.0
_DONE_LINE = b'data: [DONE]'
_DATA_PREFIX = b'data: '


class Outcome(enum.Enum):
    """Outcome of a request or order as seen by its caller."""

    ANSWERED = 'answered'
    REFUSED = 'refused'
    FAILED = 'failed'
    IN_DOUBT = 'in doubt'
    UNREACHED = 'unreached'


_OUTCOMES = {
    'not run': Outcome.REFUSED,
    'ran': Outcome.FAILED,
    'in doubt': Outcome.IN_DOUBT,
}


@dataclasses.dataclass(slots=True)
class WorkItem:
    """A request or an order of a caller.

    Attributes
    ----------
    number : int
    rank, organisation : str
    body : str
        Prompt of a request, or body of an order, by which the checks find the
        order in the log of the service; unique unless the scenario sets it.
    tokens : int
        Number of tokens requested; 0 for an order.
    service : str
        Service of an order; empty for a request.
    key : str
        Idempotency key of an order.
    request : str
        Identifier assigned by the entry instance.
    chunks : list of str
        Tokens received, or the response to an order as one text.
    outcome : Outcome or None
        None while the work is pending.
    code : int
        Result code; 0 if none was received.
    elapsed_s : float
        Time from the start of the call to the outcome, seconds.
    error_detail : str
        Connection error or unreadable response that ended the call, if any.
    """

    number: int
    rank: str
    organisation: str
    body: str
    tokens: int = 0
    service: str = ''
    key: str = ''
    request: str = ''
    chunks: list = dataclasses.field(default_factory=list)
    outcome: Outcome | None = None
    code: int = 0
    elapsed_s: float = 0.0
    error_detail: str = ''


class Callers:
    """Sends work through the entry instances in background threads.

    Parameters
    ----------
    list_entries : callable
        Returns pairs of name and ``host:port`` of the entry instances
        that the load balancer may choose.
    model : str

    Attributes
    ----------
    work_items : list of WorkItem
    """

    def __init__(self, list_entries, model):
        self._list_entries = list_entries
        self._model = model
        self._pool = urllib3.PoolManager(num_pools=64, maxsize=256)
        self._turns = itertools.count()
        self._numbers = itertools.count(1)
        self._threads = []
        self.work_items = []

    def send(self, send):
        """Start the requests of a ``Send`` statement."""
        batch = [
            self._create_request(send, next(self._numbers))
            for _ in range(send.count)
        ]
        self._start_batch(batch, send)

    def order(self, order):
        """Start the orders of an ``Order`` statement."""
        batch = [
            self._create_order(order, next(self._numbers))
            for _ in range(order.count)
        ]
        self._start_batch(batch, order)

    def _create_request(self, send, number):
        prompt = send.prompt or f'{send.organisation} asks no. {number}:'
        return WorkItem(
            number, send.rank, send.organisation, prompt, send.tokens
        )

    def _create_order(self, order, number):
        key = order.key or f'order-{number}'
        body = f'{order.organisation}/{key}'
        return WorkItem(
            number,
            'middle',
            order.organisation,
            body,
            service=order.service,
            key=key,
        )

    def _start_batch(self, batch, statement):
        self.work_items += batch
        sender = threading.Thread(
            target=self._send_at_rate, args=(batch, statement), daemon=True
        )
        self._threads.append(sender)
        sender.start()

    def _send_at_rate(self, batch, statement):
        begin_at = time.monotonic()
        for index, item in enumerate(batch):
            pause_s = begin_at + index / statement.rate - time.monotonic()
            time.sleep(max(pause_s, 0))
            threading.Thread(
                target=self._run_item,
                args=(item, statement.through),
                daemon=True,
            ).start()

    def count_pending(self):
        """Return the number of work items without an outcome."""
        return sum(item.outcome is None for item in self.work_items)

    def _run_item(self, item, through):
        begin_at = time.monotonic()
        outcome = Outcome.IN_DOUBT
        try:
            outcome = self._call(item, self._choose_entry_address(through))
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
            LookupError,
        ) as error:
            outcome = Outcome.UNREACHED
            item.error_detail = repr(error)
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            outcome = Outcome.IN_DOUBT
            item.error_detail = repr(error)
        item.elapsed_s = time.monotonic() - begin_at
        item.outcome = outcome

    def _choose_entry_address(self, through):
        entries = dict(self._list_entries())
        if through:
            return entries[through]
        names = sorted(entries)
        if not names:
            raise LookupError('no entry instance runs')
        return entries[names[next(self._turns) % len(names)]]

    def _call(self, item, address):
        key = _settings.make_key(item.organisation, item.rank)
        headers = {'Authorization': f'Bearer {key}'}
        if item.service:
            path, body = f'/services/{item.service}', item.body
            headers['Idempotency-Key'] = item.key
        else:
            path, body = (
                '/v1/completions',
                json.dumps(
                    {
                        'model': self._model,
                        'prompt': item.body,
                        'max_tokens': item.tokens,
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
            return _read_answer(item, response)
        finally:
            response.close()


def _read_answer(item, response):
    item.request = response.headers.get('X-Request-Id', '')
    if response.status != 200:
        data = response.read()
        try:
            return _read_error(item, json.loads(data))
        except (ValueError, LookupError):
            item.error_detail = f'HTTP {response.status}: {data[:80]}'
            return Outcome.IN_DOUBT
    if item.service:
        item.code = int(response.headers.get('X-Result-Code', 0))
        item.chunks.append(response.read().decode())
        return Outcome.ANSWERED
    return _read_stream(item, response)


def _read_stream(item, response):
    for line in _split_lines(response):
        if line == _DONE_LINE:
            return Outcome.ANSWERED
        if not line.startswith(_DATA_PREFIX):
            continue
        piece = json.loads(line.removeprefix(_DATA_PREFIX))
        if 'error' in piece:
            return _read_error(item, piece)
        text = piece['choices'][0]['text']
        if text:
            item.chunks.append(text)
    # The stream ended without a final event: it is unknown what ran.
    return Outcome.IN_DOUBT


def _split_lines(response):
    remainder = b''
    while data := response.read1():
        *lines, remainder = (remainder + data).split(b'\n')
        yield from lines


def _read_error(item, body):
    error = body['error']
    item.code = int(error['code'])
    return _OUTCOMES[error['class']]
