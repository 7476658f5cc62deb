"""The WSGI application that callers talk to."""

import json
import queue
import uuid

from sniperudder.callers import _answers
from sniperudder.callers import _fields
from sniperudder.callers import _server
from sniperudder import effects
from sniperudder import inputs
from sniperudder import outcomes

# How often a waiting thread looks whether its caller has left.
_LOOK_S = 0.25
_BODY_BYTES = 1024 * 1024
# Times between tokens that an answer keeps before it records them.
_GAPS_KEPT = 32
_JSON = ('Content-Type', 'application/json')


class Application:
    """Answers callers' requests out of a runtime.

    Parameters
    ----------
    runtime : Runtime
    find_key : callable
        Takes a presented key; returns a record with ``organisation``
        and ``rank``, or None.
    render_metrics : callable
        Returns the text for scrapers.
    is_ready : callable
        Returns an empty text, or why the instance is not ready.
    metrics : Metrics or None
    """

    __slots__ = (
        'runtime',
        'find_key',
        'render_metrics',
        'is_ready',
        'record_latencies',
    )

    def __init__(
        self, runtime, find_key, render_metrics, is_ready, record_latencies
    ):
        self.runtime = runtime
        self.find_key = find_key
        self.render_metrics = render_metrics
        self.is_ready = is_ready
        self.record_latencies = record_latencies

    def __call__(self, environ, start_response):
        request = uuid.uuid4().hex
        try:
            return self._route(environ, start_response, request)
        except _fields.BadField as exc:
            return _refuse(start_response, request, exc.refusal)

    def _route(self, environ, start_response, request):
        method = environ['REQUEST_METHOD']
        path = environ.get('PATH_INFO', '')
        if method == 'GET':
            return self._answer_get(path, start_response, request)
        if method == 'POST' and path == '/v1/completions':
            return self._complete(environ, start_response, request, False)
        if method == 'POST' and path == '/v1/chat/completions':
            return self._complete(environ, start_response, request, True)
        if method == 'POST' and path.startswith('/services/'):
            name = path.removeprefix('/services/')
            return self._order(environ, start_response, request, name)
        raise _fields.BadField(outcomes.Code.UNKNOWN_ROUTE, path[:100])

    def _answer_get(self, path, start_response, request):
        if path == '/healthz':
            return _send_text(start_response, 200, 'ok\n')
        if path == '/readyz':
            reason = self.is_ready()
            status = 503 if reason else 200
            return _send_text(start_response, status, f'{reason or "ok"}\n')
        if path == '/metrics':
            return _send_text(start_response, 200, self.render_metrics())
        raise _fields.BadField(outcomes.Code.UNKNOWN_ROUTE, path[:100])

    def _find_caller(self, environ):
        header = environ.get('HTTP_AUTHORIZATION', '')
        presented = header.removeprefix('Bearer ').strip()
        caller = self.find_key(presented) if presented else None
        if caller is None:
            raise _fields.BadField(
                outcomes.Code.UNKNOWN_KEY, 'the key is missing or unknown'
            )
        return caller

    def _complete(self, environ, start_response, request, chat):
        caller = self._find_caller(environ)
        prompt = _fields.parse_prompt(_read_body(environ), chat)
        replies = self.runtime.open_reply(request)
        self.runtime.submit(
            inputs.RequestArrived(
                request,
                caller.organisation,
                caller.rank,
                prompt.model,
                prompt.prompt,
                prompt.max_tokens,
                prompt.deadline_s,
            )
        )
        answer = _Answer(self, caller, request, replies, environ)
        if prompt.stream:
            return answer.stream(prompt, start_response)
        return answer.collect(prompt, start_response)

    def _order(self, environ, start_response, request, service):
        caller = self._find_caller(environ)
        body = _read_body(environ)
        key = environ.get('HTTP_IDEMPOTENCY_KEY')
        key = request if key is None else _fields.check_key(key)
        try:
            text = body.decode()
        except UnicodeDecodeError as exc:
            raise _fields.BadField(
                outcomes.Code.BAD_FIELD, 'the body is not UTF-8'
            ) from exc
        replies = self.runtime.open_reply(request)
        self.runtime.submit(
            inputs.OrderArrived(
                request,
                caller.organisation,
                caller.rank,
                service,
                key,
                text,
            )
        )
        answer = _Answer(self, caller, request, replies, environ)
        return answer.send_order(start_response)


class _Answer:
    """One answer under way, and the caller that waits for it."""

    __slots__ = (
        'app',
        'caller',
        'request',
        'replies',
        'connection',
        'began_at',
        'last_at',
        'gaps_s',
    )

    def __init__(self, app, caller, request, replies, environ):
        self.app = app
        self.caller = caller
        self.request = request
        self.replies = replies
        self.connection = environ.get(_server.CONNECTION)
        self.began_at = app.runtime.read_clock()
        self.last_at = None
        self.gaps_s = []

    def stream(self, prompt, start_response):
        """Return the iterable of a streamed answer."""
        first = self._next()
        if isinstance(first, effects.Finish):
            if not isinstance(first.outcome, outcomes.Answered):
                return _refuse(start_response, self.request, first.outcome)
        headers = [
            ('Content-Type', 'text/event-stream'),
            ('Cache-Control', 'no-store'),
            ('X-Request-Id', self.request),
        ]
        start_response(_answers.render_status(200), headers)
        return self._iterate(prompt, first)

    def _iterate(self, prompt, reply):
        count = 0
        renderer = _answers.PieceRenderer(self.request, prompt)
        try:
            while isinstance(reply, effects.EmitToken):
                count += 1
                yield renderer.render(reply.token)
                reply = self._next()
            yield from self._end_stream(prompt, reply.outcome, count)
            reply = None
        finally:
            if reply is not None:
                self._leave()

    def _end_stream(self, prompt, outcome, count):
        if not isinstance(outcome, outcomes.Answered):
            yield _answers.render_event(_answers.render_error(outcome))
            return
        reason = 'length' if count >= prompt.max_tokens else 'stop'
        piece = _answers.render_piece(self.request, prompt, None, reason)
        yield _answers.render_event(piece)
        yield _answers.DONE_EVENT

    def collect(self, prompt, start_response):
        """Wait for the whole answer and return it."""
        tokens = []
        reply = self._next()
        while isinstance(reply, effects.EmitToken):
            tokens.append(reply.token)
            reply = self._next()
        outcome = reply.outcome
        if not isinstance(outcome, outcomes.Answered):
            return _refuse(start_response, self.request, outcome)
        reason = 'length' if len(tokens) >= prompt.max_tokens else 'stop'
        body = _answers.render_whole(self.request, prompt, tokens, reason)
        headers = [_JSON, *_answers.render_headers(self.request, outcome)]
        start_response(_answers.render_status(200), headers)
        return [json.dumps(body).encode()]

    def send_order(self, start_response):
        """Wait for the outcome of an order and return it."""
        outcome = self._next().outcome
        if not isinstance(outcome, outcomes.Answered):
            return _refuse(start_response, self.request, outcome)
        headers = [_JSON, *_answers.render_headers(self.request, outcome)]
        start_response(_answers.render_status(outcome.status), headers)
        return [outcome.body.encode()]

    def _next(self):
        while True:
            try:
                reply = self.replies.get(timeout=_LOOK_S)
            except queue.Empty:
                if self.connection is not None and self.connection.is_closed():
                    # The core answers with the request's last reply.
                    self._leave()
                continue
            self._note_time(reply)
            return reply

    def _note_time(self, reply):
        now = self.app.runtime.read_clock()
        if isinstance(reply, effects.Finish):
            self._record_gaps()
            self._record('total', [now - self.began_at])
        elif self.last_at is None:
            self._record('first_token', [now - self.began_at])
        else:
            self.gaps_s.append(now - self.last_at)
            if len(self.gaps_s) >= _GAPS_KEPT:
                self._record_gaps()
        self.last_at = now

    def _record_gaps(self):
        if self.gaps_s:
            self._record('next_token', self.gaps_s)
            self.gaps_s = []

    def _record(self, name, spans_s):
        caller = self.caller
        self.app.record_latencies(
            caller.rank, caller.organisation, name, spans_s
        )

    def _leave(self):
        self._record_gaps()
        self.app.runtime.submit(inputs.CallerLeft(self.request))


def create_application(
    runtime,
    find_key,
    render_metrics=lambda: '',
    is_ready=lambda: '',
    record_latencies=lambda *args: None,
):
    """Return the callers' application of an instance."""
    return Application(
        runtime, find_key, render_metrics, is_ready, record_latencies
    )


def _read_body(environ):
    try:
        length = int(environ.get('CONTENT_LENGTH') or 0)
    except ValueError as exc:
        raise _fields.BadField(
            outcomes.Code.BAD_FIELD, 'Content-Length is no number'
        ) from exc
    if length > _BODY_BYTES:
        raise _fields.BadField(
            outcomes.Code.BODY_TOO_LARGE, f'at most {_BODY_BYTES} bytes'
        )
    return environ['wsgi.input'].read(length)


def _refuse(start_response, request, outcome):
    status = outcomes.describe_code(outcome.code).status
    headers = [_JSON, *_answers.render_headers(request, outcome)]
    start_response(_answers.render_status(status), headers)
    return [json.dumps(_answers.render_error(outcome)).encode()]


def _send_text(start_response, status, text):
    headers = [('Content-Type', 'text/plain; charset=utf-8')]
    start_response(_answers.render_status(status), headers)
    return [text.encode()]
