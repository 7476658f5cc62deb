"""Stand-in for a model engine that holds a range of layers."""

import collections
import dataclasses
import json
import threading
import time
import uuid

import defopt

from standins import prefixes
from standins import serving
from standins import streams

__all__ = ['Engine', 'Options', 'main']

_CRASH_TEXT = 'crash-engine'
_CHARS_PER_TOKEN = 4
_MAX_LOAD_SAMPLES = 10000
_ORDER_KINDS = ('load_model', 'load_adapter', 'change_role')
_STEP_FIELDS = {
    'request': str,
    'attempt': int,
    'position': int,
    'first_layer': int,
    'end_layer': int,
    'model': str,
    'version': str,
    'prefill': bool,
    'payload': str,
    'last': bool,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Configuration of an engine.

    Attributes
    ----------
    model, version : str
    first_layer, end_layer : int
        It holds the layers ``[first_layer, end_layer)``.
    max_streams : int
        Maximum number of concurrent streams; more are refused as busy.
    deduplicates : bool
        Whether a repeated position gets the stored output.
    ignores_fencing : bool
        Whether orders with an old fencing number are executed.
    step_ms : float
        Base duration of a call that runs steps, milliseconds.
    prefill_token_us : float
        Time for each four characters of a prompt that are not cached,
        microseconds.
    load_lag_s, event_lag_s : float
        Delay of load reports and of cache events, seconds.
    lose_event_every : int
        Every n-th cache event is lost; 0 means none.
    cache_blocks : int
        Capacity of the prefix cache, in blocks of 64 characters.
    idle_s : float
        Time after which an unused stream is dropped, seconds.
    end_every : int
        One token in ``end_every``, on average, ends the answer; 0 means
        none.
    """

    model: str = 'demo'
    version: str = '1'
    first_layer: int = 0
    end_layer: int = 4
    max_streams: int = 16
    deduplicates: bool = False
    ignores_fencing: bool = False
    step_ms: float = 0.0
    prefill_token_us: float = 0.0
    load_lag_s: float = 0.0
    event_lag_s: float = 0.0
    lose_event_every: int = 0
    cache_blocks: int = 1000
    idle_s: float = 120.0
    end_every: int = 0


class Engine(serving.Standin):
    """Engine that logs the steps and orders that it runs.

    Parameters
    ----------
    options : Options
    crash : callable, optional
        See ``FaultGate``.
    """

    def __init__(self, options, crash=None):
        super().__init__(crash)
        self._options = options
        self._boot = uuid.uuid4().hex
        self._lock = threading.Lock()
        self._versions = {(options.model, options.version)}
        self._streams = streams.StreamTable(options)
        self._cache = prefixes.PrefixCache(options)
        self._load_samples = collections.deque(
            [(0.0, 0)], maxlen=_MAX_LOAD_SAMPLES
        )
        self._steps = []
        self._orders = []
        self._results = {}
        self._fencing = 0

    def answer(self, call):
        """See base class."""
        if call.path == '/v1/steps':
            return self._run_steps(_read_steps(call.body))
        if call.path == '/v1/cancel':
            return self._cancel(json.loads(call.body)['streams'])
        if call.path == '/v1/load':
            return self._report_load()
        if call.path == '/v1/orders':
            return self._execute_order(json.loads(call.body))
        if call.path == '/v1/cache-events':
            return self._report_events(int(call.query.get('after', 0)))
        if call.path == '/v1/log':
            return self._report_log(int(call.query.get('after', 0)))
        return serving.answer_not_run(404, 'no such path')

    def _run_steps(self, steps):
        results = []
        cost_s = 0.0
        with self._lock:
            for step in steps:
                result, step_cost_s = self._run_step(step)
                results.append(result)
                cost_s += step_cost_s
            self._record_load()
        if any(result['status'] == 'ran' for result in results):
            self.gate.pause(self._options.step_ms / 1e3 + cost_s)
        return serving.answer_json({'results': results})

    def _run_step(self, step):
        """Return a step's result and its additional duration, seconds."""
        try:
            self._check_held(step)
            result, repeated = self._streams.run(step)
        except streams.StepRefused as refusal:
            return _make_refusal(step, refusal), 0.0
        if repeated:
            return result, 0.0
        self._steps.append(
            {
                'request': step['request'],
                'attempt': step['attempt'],
                'position': step['position'],
                'first_layer': step['first_layer'],
                'end_layer': step['end_layer'],
                'version': step['version'],
            }
        )
        return result, self._prefill(step)

    def _check_held(self, step):
        first, end = step['first_layer'], step['end_layer']
        held = self._options.first_layer, self._options.end_layer
        if not held[0] <= first < end <= held[1]:
            raise streams.StepRefused('not_run', f'layers {held} are held')
        if (step['model'], step['version']) not in self._versions:
            raise streams.StepRefused('not_run', 'the version is not held')
        if step['deadline_s'] <= 0:
            raise streams.StepRefused('not_run', 'the deadline has passed')

    def _prefill(self, step):
        if not (step['prefill'] and step['first_layer'] == 0):
            return 0.0
        text = step['payload']
        if _CRASH_TEXT in text:
            self.gate.crash()
        cached = self._cache.fill(text, self.gate.faults.drop_events)
        tokens = (len(text) - cached) / _CHARS_PER_TOKEN
        return tokens * self._options.prefill_token_us / 1e6

    def _cancel(self, cancels):
        with self._lock:
            for cancel in cancels:
                self._streams.cancel(cancel['request'], cancel['attempt'])
            self._record_load()
        return serving.answer_json({})

    def _record_load(self):
        self._load_samples.append((time.monotonic(), self._streams.count()))

    def _report_load(self):
        lag_s = max(self._options.load_lag_s, self.gate.faults.lag_s)
        until = time.monotonic() - lag_s
        with self._lock:
            held = 0
            for at, count in reversed(self._load_samples):
                if at <= until:
                    held = count
                    break
        return serving.answer_json({'streams': held, 'boot': self._boot})

    def _execute_order(self, order):
        if order['kind'] not in _ORDER_KINDS:
            return serving.answer_not_run(400, 'no such kind of order')
        ignores_fencing = self._options.ignores_fencing
        ignores_fencing = ignores_fencing or self.gate.faults.ignore_fencing
        with self._lock:
            if order['fencing'] < self._fencing and not ignores_fencing:
                return serving.answer_not_run(409, 'old fencing number')
            self._fencing = max(self._fencing, order['fencing'])
            if order['id'] not in self._results or ignores_fencing:
                self._orders.append(order)
                self._results[order['id']] = {'id': order['id'], 'done': True}
                if order['kind'] == 'load_model':
                    held = order['model'], order['version']
                    self._versions.add(held)
            return serving.answer_json(self._results[order['id']])

    def _report_events(self, after):
        with self._lock:
            events = self._cache.read_events(after)
        return serving.answer_json({'boot': self._boot, 'events': events})

    def _report_log(self, after=0):
        with self._lock:
            return serving.answer_json(
                {
                    'boot': self._boot,
                    'steps': self._steps[after:],
                    'orders': self._orders,
                }
            )


def _read_steps(body):
    """Return the steps of a call; check all of them before any runs."""
    steps = json.loads(body)['steps']
    for step in steps:
        for name, kind in _STEP_FIELDS.items():
            if type(step[name]) is not kind:
                raise TypeError(f'{name} must be {kind.__name__}')
        step['deadline_s'] = float(step['deadline_s'])
    return steps


def _make_refusal(step, refusal):
    return {
        'status': refusal.status,
        'request': step['request'],
        'attempt': step['attempt'],
        'position': step['position'],
        'detail': str(refusal),
    }


def main(
    *,
    port: int = 0,
    model: str = 'demo',
    version: str = '1',
    first_layer: int = 0,
    end_layer: int = 4,
    max_streams: int = 16,
    deduplicates: bool = False,
    ignores_fencing: bool = False,
    step_ms: float = 0.0,
    prefill_token_us: float = 0.0,
    load_lag_s: float = 0.0,
    event_lag_s: float = 0.0,
    lose_event_every: int = 0,
    cache_blocks: int = 1000,
    idle_s: float = 120.0,
    end_every: int = 0,
):
    """Run the stand-in for a model engine.

    Parameters
    ----------
    port : int
        Port on 127.0.0.1; 0 selects a free one.
    model : str
        Model that is loaded at the start.
    version : str
        Version of the model that is loaded at the start.
    first_layer : int
        First layer that it holds.
    end_layer : int
        Layer after the last that it holds.
    max_streams : int
        Maximum number of concurrent streams; more are refused as busy.
    deduplicates : bool
        Answer a repeated position with the stored output.
    ignores_fencing : bool
        Execute orders with an old fencing number.
    step_ms : float
        Base duration of a call that runs steps, milliseconds.
    prefill_token_us : float
        Time for each four characters of a prompt that are not cached,
        microseconds.
    load_lag_s : float
        Delay of load reports, seconds.
    event_lag_s : float
        Delay of cache events, seconds.
    lose_event_every : int
        Lose every n-th cache event; 0 means none.
    cache_blocks : int
        Capacity of the prefix cache, in blocks of 64 characters.
    idle_s : float
        Time after which an unused stream is dropped, seconds.
    end_every : int
        One token in this many, on average, ends the answer; 0 means
        none.
    """
    options = dict(locals())
    del options['port']
    serving.run_server(Engine(Options(**options)), port)


if __name__ == '__main__':
    defopt.run(main)
