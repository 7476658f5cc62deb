"""HTTP server of the stand-ins, with the faults of connections."""

import abc
import dataclasses
import json
import signal
import socket
import threading
import time
import urllib.parse

from cheroot import server

from standins import faults

__all__ = [
    'Answer',
    'Call',
    'Standin',
    'answer_json',
    'answer_not_run',
    'create_server',
    'run_server',
]

_HOST = '127.0.0.1'
_THREADS = 128
_IDLE_TIMEOUT_S = 300
_SHUTDOWN_TIMEOUT_S = 1
_TICK_S = 0.1
_CONTROL_PATHS = ('/faults', '/healthz', '/v1/log', '/log', '/restore')


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """Received call.

    Attributes
    ----------
    method, path : str
    query, headers : dict of str to str
        Header names are in lower case.
    body : bytes
    received_at : float
        Time on the monotonic clock, seconds.
    """

    method: str
    path: str
    query: dict
    headers: dict
    body: bytes
    received_at: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Answer to a call.

    Attributes
    ----------
    status : int
    body : bytes
    not_run : bool
        Whether the answer states that the call did not start.
    key : str
        Idempotency key to echo.
    call : str
        Identifier of the call to echo.
    headers : dict of str to str
        Further headers.
    """

    status: int
    body: bytes
    not_run: bool = False
    key: str = ''
    call: str = ''
    headers: dict = dataclasses.field(default_factory=dict)


def answer_json(value, status=200, not_run=False):
    """Return an answer with a value as JSON."""
    return Answer(status, json.dumps(value).encode(), not_run)


def answer_not_run(status, reason):
    """Return a refusal of a call that did not start."""
    return answer_json({'error': reason}, status, not_run=True)


class Standin(abc.ABC):
    """Base class of the stand-ins behind the HTTP server.

    Parameters
    ----------
    crash : callable, optional
        See ``FaultGate``.
    """

    def __init__(self, crash=None):
        self.gate = faults.FaultGate(crash)
        self.last_answer = None

    @abc.abstractmethod
    def answer(self, call):
        """Run a call and return its ``Answer``."""


class _Gateway(server.Gateway):
    def respond(self):
        call = _read_call(self.req)
        if call is None:
            return self._hang_up()
        standin = self.req.server.standin
        if call.path == '/faults':
            return self._write(_answer_faults(standin.gate, call))
        if call.path == '/healthz':
            return self._write(answer_json({'ok': True}))
        gate = standin.gate
        if call.path in _CONTROL_PATHS or not gate.applies_to(call.path):
            return self._write(_run(standin, call))
        self._respond_faulty(standin, call)

    def _respond_faulty(self, standin, call):
        gate = standin.gate
        if gate.faults.hang_up:
            return self._hang_up()
        if gate.faults.refuse:
            return self._write(answer_not_run(503, 'refused'))
        gate.wait()
        gate.crash_if('before')
        answer = _run(standin, call)
        gate.crash_if('after')
        gate.delay_answer()
        if gate.consume('lose_answers'):
            return self._hang_up()
        if gate.consume('cross_answers') and standin.last_answer:
            return self._write(standin.last_answer)
        standin.last_answer = answer
        self._write(answer, truncate=gate.consume('cut_answers'))

    def _hang_up(self):
        self.req.sent_headers = True
        self.req.close_connection = True
        self.req.conn.socket.shutdown(socket.SHUT_RDWR)

    def _write(self, answer, truncate=False):
        req = self.req
        req.status = f'{answer.status} -'.encode()
        req.outheaders = [
            (b'Content-Type', b'application/json'),
            (b'Content-Length', str(len(answer.body)).encode()),
        ]
        if answer.not_run:
            req.outheaders.append((b'X-Execution', b'not-run'))
        for name, value in (
            (b'X-Call-Id', answer.call),
            (b'Idempotency-Key', answer.key),
            *((name.encode(), text) for name, text in answer.headers.items()),
        ):
            if value:
                req.outheaders.append((name, value.encode()))
        req.sent_headers = True
        req.send_headers()
        if truncate:
            req.write(answer.body[: len(answer.body) // 2])
            req.conn.wfile.flush()
            return self._hang_up()
        req.write(answer.body)


def _read_call(req):
    """Return the call, or None if its body is truncated."""
    length = int(req.inheaders.get(b'Content-Length', 0))
    body = req.rfile.read(length) if length else b''
    if len(body) < length:
        return None
    parts = urllib.parse.urlsplit(req.uri.decode('latin-1'))
    return Call(
        method=req.method.decode('latin-1'),
        path=parts.path,
        query=dict(urllib.parse.parse_qsl(parts.query)),
        headers={
            name.decode('latin-1').lower(): value.decode('latin-1')
            for name, value in req.inheaders.items()
        },
        body=body,
        received_at=time.monotonic(),
    )


def _run(standin, call):
    try:
        answer = standin.answer(call)
    except (KeyError, TypeError, ValueError) as error:
        answer = answer_not_run(400, repr(error))
    name = call.headers.get('x-call-id', '')
    return dataclasses.replace(answer, call=name)


def _answer_faults(gate, call):
    if call.method == 'POST':
        try:
            gate.update(json.loads(call.body or b'{}'))
        except (AttributeError, ValueError) as error:
            return answer_not_run(400, str(error))
    return answer_json(dataclasses.asdict(gate.faults))


class _Server(server.HTTPServer):
    def __init__(self, standin, port):
        super().__init__(
            (_HOST, port),
            _Gateway,
            minthreads=_THREADS,
            maxthreads=_THREADS,
        )
        self.standin = standin
        self.timeout = _IDLE_TIMEOUT_S
        self.keep_alive_conn_limit = 1000
        self.request_queue_size = 1024
        self.expiration_interval = _TICK_S
        self.shutdown_timeout = _SHUTDOWN_TIMEOUT_S

    @property
    def address(self):
        """The ``host:port`` on which it listens."""
        return f'{_HOST}:{self.bind_addr[1]}'

    def stop(self):
        """End all pauses and close all connections."""
        self.standin.gate.close()
        super().stop()

    def error_log(self, msg='', level=20, traceback=False):
        """Suppress the log of broken connections."""


def create_server(standin, port=0):
    """Start a server that runs in a thread until its ``stop``.

    Parameters
    ----------
    standin : Standin
    port : int
        0 selects a free one, see ``address``.
    """
    http_server = _Server(standin, port)
    http_server.prepare()
    threading.Thread(target=http_server.serve, daemon=True).start()
    return http_server


def run_server(standin, port):
    """Print ``ready PORT`` and serve until SIGTERM or SIGINT."""
    http_server = create_server(standin, port)
    stopped = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopped.set())
    print('ready', http_server.bind_addr[1], flush=True)
    stopped.wait()
    http_server.stop()
