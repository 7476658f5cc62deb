"""Typed statements of a scenario."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class DefineModel:
    """The model that all endpoints hold."""

    name: str
    layers: int


@dataclasses.dataclass(frozen=True, slots=True)
class DefineEndpoint:
    """A model engine with the layers ``[first_layer, end_layer)``.

    Attributes
    ----------
    name : str
    first_layer, end_layer : int
    step_s : float
        Time of one call, seconds.
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
    """A plain service.

    Attributes
    ----------
    name : str
    work_s : float
        Time of one call, seconds.
    deduplicates, lookup : bool
        See ``sniperudder.tables.Service``.
    """

    name: str
    work_s: float = 0.01
    deduplicates: bool = False
    lookup: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class DefineEntry:
    """An entry instance."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class DefineOrganisation:
    """A customer."""

    name: str
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """Start processes; all that do not run where none is named."""

    names: tuple = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Kill:
    """End a process by SIGKILL."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Freeze:
    """Suspend a process by SIGSTOP."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Thaw:
    """Let a suspended process go on by SIGCONT."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """Ask an entry instance for a planned stop by SIGTERM."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Cut:
    """Let nothing pass between an entry instance and a stand-in."""

    name: str
    target: str


@dataclasses.dataclass(frozen=True, slots=True)
class Join:
    """Let an entry instance and a stand-in talk again."""

    name: str
    target: str


@dataclasses.dataclass(frozen=True, slots=True)
class SetFault:
    """Change a fault of a stand-in, see ``standins.faults.Faults``.

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
class Give:
    """Give an operator's command through any entry instance."""

    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send requests for tokens in the background.

    Attributes
    ----------
    count : int
    rank : str
    organisation : str
    rate : float
        Requests a second.
    tokens : int
    through : str
        Entry instance; empty for all in turn.
    prompt : str
        Sent by all of them; empty gives each its own.
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
        Orders a second.
    key : str
        Shared by all of them, which then are one order; empty gives
        each its own.
    through : str
    """

    count: int
    service: str
    organisation: str
    rate: float = 50.0
    key: str = ''
    through: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """Let time pass, seconds."""

    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ExpectDone:
    """All that was sent has its outcome within a time."""

    within_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ExpectStopped:
    """A process ends with status 0 within a time."""

    name: str
    within_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ExpectReady:
    """An entry instance says that it is ready within a time."""

    name: str
    within_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ExpectInForce:
    """The last command is in force everywhere within a time."""

    within_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ExpectIdle:
    """An endpoint begins no stream once a time has passed."""

    name: str
    after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ExpectAnswered:
    """A share of what a rank sent is answered, 0 to 1, at the end."""

    rank: str
    share: float


@dataclasses.dataclass(frozen=True, slots=True)
class ExpectCrashed:
    """At most so many engines and services ended by themselves."""

    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """A statement and where it stands."""

    number: int
    text: str
    statement: object


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """All lines of a scenario.

    Attributes
    ----------
    name : str
    lines : tuple of Line
    """

    name: str
    lines: tuple

    def list_statements(self, kind):
        """Return the statements of a class in order."""
        statements = (line.statement for line in self.lines)
        return [s for s in statements if isinstance(s, kind)]
