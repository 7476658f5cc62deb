"""WSGI application of the callers' interface."""

import json
import queue
import uuid

from sniperudder.callers import _fields
from sniperudder.callers import _responses
from sniperudder.callers import _server
from sniperudder.callers import _tokens
from sniperudder import effects
from sniperudder import inputs
from sniperudder import outcomes

# Interval at which a waiting thread checks for a closed connection.
_CONNECTION_POLL_S = 0.25
_MAX_BODY_BYTES = 1024 * 1024
# Inter-token intervals that a response buffers before recording them.
_MAX_BUFFERED_INTERVALS = 32
_JSON = ('Content-Type', 'application/json')


class Application:
    """Serves requests of callers through a runtime.

    Parameters
    ----------
    runtime : Runtime
    find_key : callable
        Takes a presented key; returns a record with ``organisation``
        and ``rank``, or None.
    render_metrics : callable
        Returns the text of the metrics page.
    explain_unready : callable
        Returns the reason why the instance is not ready, or an empty
        string.
    record_latencies : callable
        ``record_latencies(rank, organisation, name, durations_s)``.
    """

    __slots__ = (
        'runtime',
        'find_key',
        'render_metrics',
        'explain_unready',
        'record_latencies',
        'token_writer',
    )

    def __init__(
        self,
        runtime,
        find_key,
        render_metrics,
        explain_unready,
        record_latencies,
    ):
        self.runtime = runtime
        self.find_key = find_key
        self.render_metrics = render_metrics
        self.explain_unready = explain_unready
        self.record_latencies = record_latencies
        self.token_writer = _tokens.create_token_writer()

    def __call__(self, environ, start_response):
        request = uuid.uuid4().hex
        try:
            return self._route(environ, start_response, request)
        except _fields.RequestRefused as exc:
            return _refuse(start_response, request, exc.refusal)

    def _route(self, environ, start_response, request):
        method = environ['REQUEST_METHOD']
        path = environ.get('PATH_INFO', '')
        if method == 'GET':
            return self._handle_get(path, start_response, request)
        if method == 'POST' and path == '/v1/completions':
            return self._submit_completion(
                environ, start_response, request, False
            )
        if method == 'POST' and path == '/v1/chat/completions':
            return self._submit_completion(
                environ, start_response, request, True
            )
        if method == 'POST' and path.startswith('/services/'):
            name = path.removeprefix('/services/')
            return self._submit_order(environ, start_response, request, name)
        raise _fields.RequestRefused(outcomes.Code.UNKNOWN_ROUTE, path[:100])

    def _handle_get(self, path, start_response, request):
        if path == '/healthz':
            return _send_text(start_response, 200, 'ok\n')
        if path == '/readyz':
            reason = self.explain_unready()
            status = 503 if reason else 200
            return _send_text(start_response, status, f'{reason or "ok"}\n')
        if path == '/metrics':
            return _send_text(start_response, 200, self.render_metrics())
        raise _fields.RequestRefused(outcomes.Code.UNKNOWN_ROUTE, path[:100])

    def _find_caller(self, environ):
        header = environ.get('HTTP_AUTHORIZATION', '')
        presented = header.removeprefix('Bearer ').strip()
        caller = self.find_key(presented) if presented else None
        if caller is None:
            raise _fields.RequestRefused(
                outcomes.Code.UNKNOWN_KEY, 'the key is missing or unknown'
            )
        return caller

    def _submit_completion(self, environ, start_response, request, chat):
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
        response = _Response(self, caller, request, replies, environ)
        if prompt.stream:
            return response.stream(prompt, start_response)
        return response.collect(prompt, start_response)

    def _submit_order(self, environ, start_response, request, service):
        caller = self._find_caller(environ)
        body = _read_body(environ)
        key = environ.get('HTTP_IDEMPOTENCY_KEY')
        key = request if key is None else _fields.check_key(key)
        try:
            text = body.decode()
        except UnicodeDecodeError as exc:
            raise _fields.RequestRefused(
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
        response = _Response(self, caller, request, replies, environ)
        return response.send_order_result(start_response)


class _Response:
    """A response in progress and the caller that waits for it."""

    __slots__ = (
        'app',
        'caller',
        'request',
        'replies',
        'connection',
        'started_at',
        'last_reply_at',
        'intervals_s',
    )

    def __init__(self, app, caller, request, replies, environ):
        self.app = app
        self.caller = caller
        self.request = request
        self.replies = replies
        self.connection = environ.get(_server.CONNECTION)
        self.started_at = app.runtime.read_clock()
        self.last_reply_at = None
        self.intervals_s = []

    def stream(self, prompt, start_response):
        """Return the iterable of a streamed response."""
        first = self._wait_reply()
        if isinstance(first, effects.SendOutcome):
            if not isinstance(first.outcome, outcomes.Answered):
                return _refuse(start_response, self.request, first.outcome)
        headers = [
            ('Content-Type', 'text/event-stream'),
            ('Cache-Control', 'no-store'),
            ('X-Request-Id', self.request),
        ]
        start_response(_responses.render_status(200), headers)
        return self._generate_events(prompt, first)

    def _generate_events(self, prompt, reply):
        renderer = _responses.TokenEventRenderer(self.request, prompt)
        count = 0
        sink = None
        try:
            while not isinstance(reply, effects.SendOutcome):
                if isinstance(reply, _tokens.UnsentData):
                    self.connection.write_all(reply.data)
                else:
                    count += 1
                    yield renderer.render(reply.token)
                # The server has sent the headers once the first event is
                # consumed; before that the writer must not write.
                sink = sink or self._hand_over_to_writer(renderer)
                reply = self._wait_reply()
            count += sink.count if sink else 0
            yield from self._end_stream(prompt, reply.outcome, count)
            reply = None
        finally:
            if sink:
                sink.close()
            if reply is not None:
                self._report_disconnect()

    def _hand_over_to_writer(self, renderer):
        """Let the token writer send the rest of a chunked response."""
        if self.connection is None or not self.connection.is_chunked():
            return None
        sink = _tokens.TokenSink(
            self.app.token_writer, self.connection, renderer, self._record_time
        )
        replies, self.replies = self.replies, sink.replies
        self.app.runtime.redirect_reply(self.request, replies, sink)
        return sink

    def _end_stream(self, prompt, outcome, count):
        if not isinstance(outcome, outcomes.Answered):
            yield _responses.render_event(_responses.render_error(outcome))
            return
        reason = 'length' if count >= prompt.max_tokens else 'stop'
        chunk = _responses.render_completion_chunk(
            self.request, prompt, None, reason
        )
        yield _responses.render_event(chunk)
        yield _responses.DONE_EVENT

    def collect(self, prompt, start_response):
        """Wait for the last token and return the complete response."""
        tokens = []
        reply = self._wait_reply()
        while isinstance(reply, effects.EmitToken):
            tokens.append(reply.token)
            reply = self._wait_reply()
        outcome = reply.outcome
        if not isinstance(outcome, outcomes.Answered):
            return _refuse(start_response, self.request, outcome)
        reason = 'length' if len(tokens) >= prompt.max_tokens else 'stop'
        body = _responses.render_completion(
            self.request, prompt, tokens, reason
        )
        headers = [_JSON, *_responses.render_headers(self.request, outcome)]
        start_response(_responses.render_status(200), headers)
        return [json.dumps(body).encode()]

    def send_order_result(self, start_response):
        """Wait for the outcome of an order and return it."""
        outcome = self._wait_reply().outcome
        if not isinstance(outcome, outcomes.Answered):
            return _refuse(start_response, self.request, outcome)
        headers = [_JSON, *_responses.render_headers(self.request, outcome)]
        start_response(_responses.render_status(outcome.status), headers)
        return [outcome.body.encode()]

    def _wait_reply(self):
        while True:
            try:
                reply = self.replies.get(timeout=_CONNECTION_POLL_S)
            except queue.Empty:
                if self.connection is not None and self.connection.is_closed():
                    # Keep waiting: the core answers a disconnect with a
                    # final reply.
                    self._report_disconnect()
                continue
            if not isinstance(reply, _tokens.UnsentData):
                self._record_time(reply)
            return reply

    def _record_time(self, reply):
        now = self.app.runtime.read_clock()
        if isinstance(reply, effects.SendOutcome):
            self._record_intervals()
            self._record('total', [now - self.started_at])
        elif self.last_reply_at is None:
            self._record('first_token', [now - self.started_at])
        else:
            self.intervals_s.append(now - self.last_reply_at)
            if len(self.intervals_s) >= _MAX_BUFFERED_INTERVALS:
                self._record_intervals()
        self.last_reply_at = now

    def _record_intervals(self):
        if self.intervals_s:
            self._record('next_token', self.intervals_s)
            self.intervals_s = []

    def _record(self, name, durations_s):
        caller = self.caller
        self.app.record_latencies(
            caller.rank, caller.organisation, name, durations_s
        )

    def _report_disconnect(self):
        self._record_intervals()
        self.app.runtime.submit(inputs.CallerDisconnected(self.request))


def create_application(
    runtime,
    find_key,
    render_metrics=lambda: '',
    explain_unready=lambda: '',
    record_latencies=lambda *args: None,
):
    """Return the callers' WSGI application of an instance."""
    return Application(
        runtime, find_key, render_metrics, explain_unready, record_latencies
    )


def _read_body(environ):
    try:
        length = int(environ.get('CONTENT_LENGTH') or 0)
    except ValueError as exc:
        raise _fields.RequestRefused(
            outcomes.Code.BAD_FIELD, 'Content-Length is no number'
        ) from exc
    if length > _MAX_BODY_BYTES:
        raise _fields.RequestRefused(
            outcomes.Code.BODY_TOO_LARGE, f'at most {_MAX_BODY_BYTES} bytes'
        )
    return environ['wsgi.input'].read(length)


def _refuse(start_response, request, outcome):
    status = outcomes.describe_code(outcome.code).status
    headers = [_JSON, *_responses.render_headers(request, outcome)]
    start_response(_responses.render_status(status), headers)
    return [json.dumps(_responses.render_error(outcome)).encode()]


def _send_text(start_response, status, text):
    headers = [('Content-Type', 'text/plain; charset=utf-8')]
    start_response(_responses.render_status(status), headers)
    return [text.encode()]
