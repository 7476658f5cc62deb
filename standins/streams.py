"""Streams of an engine, with checks of the sequence of steps."""

import dataclasses
import hashlib
import time
import typing

from standins import model

__all__ = ['StepRefused', 'Stream', 'StreamTable']

_SWEEP_PERIOD_S = 1.0


class StepRefused(Exception):
    """A step was refused.

    Attributes
    ----------
    status : str
        ``not_run``, or ``repeated`` where the position ran before.
    """

    def __init__(self, status, detail):
        super().__init__(detail)
        self.status = status


@dataclasses.dataclass(slots=True)
class Stream:
    """State of the newest attempt of a request at this engine.

    Attributes
    ----------
    attempt : int
    model, version : str
    layers : tuple of int
        First and end layer of all its steps.
    position : int
        Position of the last step that ran; -1 before the first.
    text : hashlib object or None
        Running digest of the text so far, at the first stage.
    used_at : float
        Time of the last step or cancellation on the monotonic clock,
        seconds.
    result : dict or None
        Result of the last step that ran.
    ended : bool
        Whether the stream is finished or cancelled.
    """

    attempt: int
    model: str = ''
    version: str = ''
    layers: tuple = (0, 0)
    position: int = -1
    text: typing.Any = None
    used_at: float = 0.0
    result: dict | None = None
    ended: bool = False


class StreamTable:
    """Streams by request; callers must hold the engine's lock.

    Parameters
    ----------
    options : standins.engine.Options
    """

    def __init__(self, options):
        self._options = options
        self._streams = {}
        self._swept_at = 0.0

    def count(self):
        """Return the number of streams that have not ended."""
        return sum(not stream.ended for stream in self._streams.values())

    def cancel(self, request, attempt):
        """End an attempt and earlier ones, even before their first step."""
        stream = self._streams.get(request)
        if stream is None or stream.attempt < attempt:
            stream = self._streams[request] = Stream(attempt)
        if stream.attempt == attempt:
            stream.ended = True
            stream.used_at = time.monotonic()

    def run(self, step):
        """Run a step.

        Parameters
        ----------
        step : dict
            The attributes of ``sniperudder.effects.Step``.

        Returns
        -------
        result : dict
        repeated : bool
            Whether it is the stored result of a repeated step.

        Raises
        ------
        StepRefused
        """
        self._sweep()
        stream = self._streams.get(step['request'])
        if stream and step['attempt'] < stream.attempt:
            raise StepRefused('not_run', 'a newer attempt is known')
        if stream is None or step['attempt'] > stream.attempt:
            stream = self._start(step)
        elif step['position'] <= stream.position:
            return self._repeat(stream, step), True
        self._check_next(stream, step)
        return self._advance(stream, step), False

    def _start(self, step):
        if not step['prefill']:
            raise StepRefused('not_run', 'the attempt is not held')
        expires_at = step.get('expires_at')
        if expires_at is not None and time.time() > expires_at:
            raise StepRefused('not_run', 'the attempt has expired')
        old = self._streams.get(step['request'])
        held = self.count() - bool(old and not old.ended)
        if held >= self._options.max_streams:
            raise StepRefused('not_run', 'busy')
        stream = Stream(
            attempt=step['attempt'],
            model=step['model'],
            version=step['version'],
            layers=(step['first_layer'], step['end_layer']),
            position=step['position'] - 1,
        )
        if step['first_layer'] == 0:
            stream.text = hashlib.sha256()
        self._streams[step['request']] = stream
        return stream

    def _repeat(self, stream, step):
        stored = stream.result
        same = stored and stored['position'] == step['position']
        if not (same and self._options.deduplicates):
            raise StepRefused('repeated', 'the position ran before')
        return stored

    def _check_next(self, stream, step):
        if stream.ended:
            raise StepRefused('not_run', 'the attempt has ended')
        if step['position'] != stream.position + 1:
            raise StepRefused(
                'not_run', f'position {stream.position} was last'
            )
        if step['prefill'] != (stream.result is None):
            raise StepRefused('not_run', 'prefill is for the first step only')
        if (step['first_layer'], step['end_layer']) != stream.layers:
            raise StepRefused('not_run', 'the attempt uses other layers')
        if (step['model'], step['version']) != (stream.model, stream.version):
            raise StepRefused('not_run', 'the attempt uses another version')

    def _advance(self, stream, step):
        hidden = step['payload']
        if stream.text is not None:
            stream.text.update(model.encode(hidden))
            hidden = stream.text.hexdigest()
        output = model.run_layers(hidden, *stream.layers, stream.version)
        finished = False
        if step['last']:
            output, finished = model.make_token(
                output, self._options.end_every
            )
        stream.position = step['position']
        stream.used_at = time.monotonic()
        stream.ended = finished
        stream.result = {
            'status': 'ran',
            'request': step['request'],
            'attempt': step['attempt'],
            'position': step['position'],
            'first_layer': step['first_layer'],
            'end_layer': step['end_layer'],
            'output': output,
            'finished': finished,
        }
        return stream.result

    def _sweep(self):
        now = time.monotonic()
        if now < self._swept_at + _SWEEP_PERIOD_S:
            return
        self._swept_at = now
        oldest = now - self._options.idle_s
        for request, stream in list(self._streams.items()):
            if stream.used_at < oldest:
                del self._streams[request]
