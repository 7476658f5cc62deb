"""Stand-in for a plain service that runs orders."""

import json
import threading
import time

import defopt

from standins import serving

__all__ = ['Service', 'main']


class Service(serving.Standin):
    """Service that logs the orders that it runs.

    Parameters
    ----------
    deduplicates : bool
        Whether a repeated key gets the stored answer.
    lookup : bool
        Whether the answer to a key can be looked up.
    work_s : float
        Duration of an order, seconds.
    crash : callable, optional
    """

    def __init__(
        self, deduplicates=False, lookup=False, work_s=0.0, crash=None
    ):
        super().__init__(crash)
        self._deduplicates = deduplicates
        self._lookup = lookup
        self._work_s = work_s
        self._lock = threading.Lock()
        self.log = []
        self._results = {}

    def answer(self, call):
        """See base class."""
        if call.path == '/call' and call.method == 'POST':
            return self._run(call)
        if call.path.startswith('/result/') and self._lookup:
            return self._look_up(call.path.removeprefix('/result/'))
        if call.path == '/log':
            return serving.answer_json(self.log)
        return serving.answer_not_run(404, 'no such path')

    def _run(self, call):
        key = call.headers['idempotency-key']
        if _has_expired(call):
            return serving.answer_not_run(504, 'expired')
        with self._lock:
            known = key in self._results
            if not (known and self._deduplicates):
                number = len(self.log) + 1
                text = call.body.decode()
                self.log.append({'number': number, 'key': key, 'body': text})
                self._results[key] = None
        if known and self._deduplicates:
            return self._repeat(key)
        self.gate.pause(self._work_s)
        result = json.dumps({'number': number, 'key': key})
        with self._lock:
            self._results[key] = result
        return serving.Answer(200, result.encode(), key=key)

    def _repeat(self, key):
        result = self._results[key]
        if result is None:
            return serving.answer_json({'error': 'running'}, 503)
        return serving.Answer(200, result.encode(), key=key)

    def _look_up(self, key):
        if key not in self._results:
            return serving.answer_json({'found': False})
        result = self._results[key]
        if result is None:
            return serving.answer_json({'error': 'running'}, 503)
        return serving.answer_json(
            {'found': True, 'status': 200, 'body': result}
        )


def _has_expired(call):
    waited_s = time.monotonic() - call.received_at
    if waited_s > float(call.headers.get('x-deadline-s', 'inf')):
        return True
    return time.time() > float(call.headers.get('x-expires-at', 'inf'))


def main(
    *,
    port: int = 0,
    deduplicates: bool = False,
    lookup: bool = False,
    work_s: float = 0.0,
):
    """Run the stand-in for a plain service.

    Parameters
    ----------
    port : int
        Port on 127.0.0.1; 0 selects a free one.
    deduplicates : bool
        Whether a repeated key gets the stored answer.
    lookup : bool
        Whether the answer to a key can be looked up.
    work_s : float
        Duration of an order, seconds.
    """
    serving.run_server(Service(deduplicates, lookup, work_s), port)


if __name__ == '__main__':
    defopt.run(main)
