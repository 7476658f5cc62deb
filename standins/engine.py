"""A model engine that holds a range of layers."""

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

_POISON = 'crash-engine'
_CHARS_PER_TOKEN = 4
_LOADS = 10000
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
    """What an engine holds and how it behaves.

    Attributes
    ----------
    model, version : str
    first_layer, end_layer : int
        It holds the layers ``[first_layer, end_layer)``.
    max_streams : int
        Streams held at once; more are refused as busy.
    deduplicates : bool
        Whether a repeated position gets the stored output.
    ignores_fencing : bool
        Whether orders with an old fencing number are obeyed.
    step_ms : float
        Time of one call, milliseconds.
    prefill_token_us : float
        Time for each four characters of a prompt that are not cached,
        microseconds.
    load_lag_s, event_lag_s : float
        Age of what load reports and cache events tell, seconds.
    lose_event_every : int
        One cache event in so many is lost; 0 means none.
    cache_blocks : int
        Blocks of 64 characters of prompts that the cache holds.
    idle_s : float
        Time after which an unused stream is dropped, seconds.
    end_every : int
        One token in so many ends the answer; 0 means none.
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
    """Runs steps and orders and keeps a log of them.

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
        self._loads = collections.deque([(0.0, 0)], maxlen=_LOADS)
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
            return self._obey(json.loads(call.body))
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
            self._note_load()
        if any(result['status'] == 'ran' for result in results):
            self.gate.pause(self._options.step_ms / 1e3 + cost_s)
        return serving.answer_json({'results': results})

    def _run_step(self, step):
        """Return a step's result and its time beyond the call's, s."""
        try:
            self._check_held(step)
            result, again = self._streams.run(step)
        except streams.Refused as refusal:
            return _make_refusal(step, refusal), 0.0
        if again:
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
            raise streams.Refused('not_run', f'layers {held} are held')
        if (step['model'], step['version']) not in self._versions:
            raise streams.Refused('not_run', 'the version is not held')
        if step['deadline_s'] <= 0:
            raise streams.Refused('not_run', 'the deadline has passed')

    def _prefill(self, step):
        if not (step['prefill'] and step['first_layer'] == 0):
            return 0.0
        text = step['payload']
        if _POISON in text:
            self.gate.crash()
        cached = self._cache.fill(text, self.gate.faults.drop_events)
        tokens = (len(text) - cached) / _CHARS_PER_TOKEN
        return tokens * self._options.prefill_token_us / 1e6

    def _cancel(self, cancels):
        with self._lock:
            for cancel in cancels:
                self._streams.cancel(cancel['request'], cancel['attempt'])
            self._note_load()
        return serving.answer_json({})

    def _note_load(self):
        self._loads.append((time.monotonic(), self._streams.count()))

    def _report_load(self):
        lag_s = max(self._options.load_lag_s, self.gate.faults.lag_s)
        until = time.monotonic() - lag_s
        with self._lock:
            held = 0
            for at, count in reversed(self._loads):
                if at <= until:
                    held = count
                    break
        return serving.answer_json({'streams': held, 'boot': self._boot})

    def _obey(self, order):
        if order['kind'] not in _ORDER_KINDS:
            return serving.answer_not_run(400, 'no such kind of order')
        ignores = self._options.ignores_fencing
        ignores = ignores or self.gate.faults.ignore_fencing
        with self._lock:
            if order['fencing'] < self._fencing and not ignores:
                return serving.answer_not_run(409, 'old fencing number')
            self._fencing = max(self._fencing, order['fencing'])
            if order['id'] not in self._results or ignores:
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
    """Return the steps of a call, all checked before any runs."""
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
    """Serve the stand-in of a model engine.

    Parameters
    ----------
    port : int
        Port on 127.0.0.1; 0 takes a free one.
    model : str
        Model that it holds from the start.
    version : str
        Version that it holds from the start.
    first_layer : int
        First layer that it holds.
    end_layer : int
        Layer after the last that it holds.
    max_streams : int
        Streams held at once; more are refused as busy.
    deduplicates : bool
        Answer a repeated position with the stored output.
    ignores_fencing : bool
        Obey orders with an old fencing number.
    step_ms : float
        Time of one call, milliseconds.
    prefill_token_us : float
        Time for each four characters of a prompt that are not cached,
        microseconds.
    load_lag_s : float
        Age of what load reports tell, seconds.
    event_lag_s : float
        Age of what cache events tell, seconds.
    lose_event_every : int
        Lose one cache event in so many; 0 means none.
    cache_blocks : int
        Blocks of 64 characters of prompts that the cache holds.
    idle_s : float
        Time after which an unused stream is dropped, seconds.
    end_every : int
        One token in so many ends the answer; 0 means none.
    """
    given = dict(locals())
    del given['port']
    serving.run_server(Engine(Options(**given)), port)


if __name__ == '__main__':
    defopt.run(main)
