"""Requests of random cases: what their callers and endpoints saw of them."""

import dataclasses
import random
import zlib

__all__ = ['Arrival', 'Request', 'Run', 'list_pieces']

_LARGE_BYTES = 150_000


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """When an instance had read a request whole, and with which version."""

    at: float
    version: int | None


@dataclasses.dataclass
class Run:
    """A request at an endpoint, and what the endpoint saw."""

    endpoint: str
    act: str
    began_at: float
    status: int = 0
    end: str = 'open'
    ended_at: float = 0.0
    sent_at: list = dataclasses.field(default_factory=list)
    is_unlisted: bool = False


@dataclasses.dataclass
class Request:
    """A request of a caller, and what the caller saw."""

    id: str
    route: str
    method: str
    body: bytes = dataclasses.field(repr=False)
    wait_s: float
    instance: object = dataclasses.field(default=None, repr=False)
    leaves_after_s: float | None = None
    expects: bool = False
    follows: object = dataclasses.field(default=None, repr=False)
    address: tuple = ()
    sent_at: float = 0.0
    is_sent: bool = False
    is_late: bool = False
    outcome: str = 'unsent'
    status: int = 0
    headers: dict = dataclasses.field(default_factory=dict)
    answer: bytes = dataclasses.field(default=b'', repr=False)
    ended_at: float = 0.0

    @property
    def announces_close(self):
        """Whether its answer says that its connection is closed."""
        return self.headers.get('connection', '').lower() == 'close'


def list_pieces(request_id, target, body):
    """Return the pieces of the only right answer to a request."""
    rng = random.Random(request_id)
    if target.startswith(('/stream/', '/once/')):
        count = rng.randint(3, 8)
        return [
            f'id: {number}\ndata: {request_id} {number}\n\n'.encode()
            for number in range(1, count + 1)
        ]
    text = f'{request_id} {target} {len(body)} {zlib.crc32(body)} '.encode()
    size = rng.choice((1, 1, 1, _LARGE_BYTES))
    return [text, b'a' * size, b'z' * size]
