"""Statements of a scenario as data classes."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class DefineModel:
    """Defines the model whose layers all endpoints hold."""

    name: str
    layers: int


@dataclasses.dataclass(frozen=True, slots=True)
class DefineEndpoint:
    """Defines a model engine with the layers ``[first_layer, end_layer)``.

    Attributes
    ----------
    name : str
    first_layer, end_layer : int
    step_s : float
        Duration of one call, seconds.
    max_streams : int
    deduplicates : bool
    """

    name: str
    first_layer: int
    end_layer: int
    step_s: float = 0.005
    max_streams: int = 16
    deduplicates: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class DefineService:
    """Defines a service.

    Attributes
    ----------
    name : str
    work_s : float
        Duration of one call, seconds.
    deduplicates, lookup : bool
        See ``sniperudder.tables.Service``.
    """

    name: str
    work_s: float = 0.01
    deduplicates: bool = False
    lookup: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class DefineEntry:
    """Defines an entry instance."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class DefineOrganisation:
    """Defines an organisation, which owns the keys of callers."""

    name: str
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """Start the named processes, or all that do not run if none is named."""

    names: tuple = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Kill:
    """Kill a process with SIGKILL."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Freeze:
    """Suspend a process with SIGSTOP."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Thaw:
    """Resume a suspended process with SIGCONT."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """Request a graceful shutdown of an entry instance with SIGTERM."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Cut:
    """Stall all traffic of an entry instance with a stand-in until `join`."""

    name: str
    target: str


@dataclasses.dataclass(frozen=True, slots=True)
class Reconnect:
    """Resume the traffic between an entry instance and a stand-in."""

    name: str
    target: str


@dataclasses.dataclass(frozen=True, slots=True)
class SetFault:
    """Set a fault of a stand-in; see ``standins.faults.Faults``.

    Attributes
    ----------
    name : str
    fault : str
        Empty to clear all faults.
    value : object
    """

    name: str
    fault: str = ''
    value: object = None


@dataclasses.dataclass(frozen=True, slots=True)
class Command:
    """Send an operator command to any entry instance."""

    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send completion requests in the background.

    Attributes
    ----------
    count : int
    rank : str
    organisation : str
    rate : float
        Requests per second.
    tokens : int
    through : str
        Name of the entry instance; if empty, all in turn (round robin).
    prompt : str
        Prompt of all requests; if empty, each has its own.
    """

    count: int
    rank: str
    organisation: str
    rate: float = 50.0
    tokens: int = 16
    through: str = ''
    prompt: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """Send orders to a service in the background.

    Attributes
    ----------
    count : int
    service : str
    organisation : str
    rate : float
        Orders per second.
    key : str
        Idempotency key shared by all of them, which makes them repeats of
        one order; if empty, each has its own key.
    through : str
        Name of the entry instance; if empty, all in turn (round robin).
    """

    count: int
    service: str
    organisation: str
    rate: float = 50.0
    key: str = ''
    through: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """Wait for a number of seconds."""

    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ExpectDone:
    """All work sent so far has an outcome within ``within_s`` seconds."""

    within_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ExpectStopped:
    """A process exits with status 0 within ``within_s`` seconds."""

    name: str
    within_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ExpectReady:
    """An entry instance becomes ready within ``within_s`` seconds."""

    name: str
    within_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ExpectInForce:
    """The last command is in force everywhere within ``within_s`` seconds."""

    within_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ExpectIdle:
    """An endpoint starts no stream once ``after_s`` seconds have passed.

    The expectation holds until the endpoint is returned, or until the end.
    """

    name: str
    after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ExpectAnswered:
    """At least a share (0 to 1) of the work of a rank is answered so far."""

    rank: str
    share: float


@dataclasses.dataclass(frozen=True, slots=True)
class ExpectCrashed:
    """At most ``count`` stand-ins have exited without being killed."""

    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """A statement with its line number and its text."""

    number: int
    text: str
    statement: object


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """A parsed scenario.

    Attributes
    ----------
    name : str
    lines : tuple of Line
    """

    name: str
    lines: tuple

    def list_statements(self, kind):
        """Return the statements of a class in the order of their lines."""
        statements = (line.statement for line in self.lines)
        return [s for s in statements if isinstance(s, kind)]
