"""The streams that an engine holds, and the order of their steps."""

import dataclasses
import hashlib
import time
import typing

from standins import model

__all__ = ['Refused', 'Stream', 'StreamTable']

_SWEEP_S = 1.0


class Refused(Exception):
    """A step gets no result.

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
    """The newest attempt of a request at this engine.

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
        When the last step came, seconds.
    result : dict or None
        Result of the last step.
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
    """Streams by request; a lock of the engine guards it.

    Parameters
    ----------
    options : standins.engine.Options
    """

    def __init__(self, options):
        self._options = options
        self._streams = {}
        self._swept_at = 0.0

    def count(self):
        """Return the number of streams held."""
        return sum(not stream.ended for stream in self._streams.values())

    def cancel(self, request, attempt):
        """Drop an attempt and those before it, also in advance."""
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
        again : bool
            Whether it is the stored result of a repeated step.

        Raises
        ------
        Refused
        """
        self._sweep()
        stream = self._streams.get(step['request'])
        if stream and step['attempt'] < stream.attempt:
            raise Refused('not_run', 'a newer attempt is known')
        if stream is None or step['attempt'] > stream.attempt:
            stream = self._start(step)
        elif step['position'] <= stream.position:
            return self._repeat(stream, step), True
        self._check_next(stream, step)
        return self._advance(stream, step), False

    def _start(self, step):
        if not step['prefill']:
            raise Refused('not_run', 'the attempt is not held')
        expires_at = step.get('expires_at')
        if expires_at is not None and time.time() > expires_at:
            raise Refused('not_run', 'the attempt came too late')
        old = self._streams.get(step['request'])
        held = self.count() - bool(old and not old.ended)
        if held >= self._options.max_streams:
            raise Refused('not_run', 'busy')
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
            raise Refused('repeated', 'the position ran before')
        return stored

    def _check_next(self, stream, step):
        if stream.ended:
            raise Refused('not_run', 'the attempt has ended')
        if step['position'] != stream.position + 1:
            raise Refused('not_run', f'position {stream.position} was last')
        if step['prefill'] != (stream.result is None):
            raise Refused('not_run', 'prefill is for the first step only')
        if (step['first_layer'], step['end_layer']) != stream.layers:
            raise Refused('not_run', 'the attempt uses other layers')
        if (step['model'], step['version']) != (stream.model, stream.version):
            raise Refused('not_run', 'the attempt uses another version')

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
        if now < self._swept_at + _SWEEP_S:
            return
        self._swept_at = now
        oldest = now - self._options.idle_s
        for request, stream in list(self._streams.items()):
            if stream.used_at < oldest:
                del self._streams[request]
