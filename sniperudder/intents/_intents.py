"""Kinds of intents."""

import dataclasses

from sniperudder.tables import Rank


@dataclasses.dataclass(frozen=True, slots=True)
class Withdraw:
    """Send no new work to an endpoint.

    Attributes
    ----------
    endpoint : str
    force : bool
        Whether to do so even if the model is left without a complete
        chain.
    """

    endpoint: str
    force: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Return:
    """Send work to a withdrawn endpoint again."""

    endpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class StopInstance:
    """Stop an entry instance once its work is done."""

    instance: str


@dataclasses.dataclass(frozen=True, slots=True)
class Shed:
    """Refuse a share of arrivals.

    Attributes
    ----------
    share : float
        0 to 1; 0 ends the shedding.
    rank : Rank or None
    organisation, model : str
        Exactly one of rank, organisation and model must be given; it
        selects the arrivals.
    """

    share: float
    rank: Rank | None = None
    organisation: str = ''
    model: str = ''

    def __post_init__(self):
        given = (self.rank is not None, self.organisation, self.model)
        if sum(map(bool, given)) != 1:
            raise ValueError('name one of rank, organisation and model')
        if not 0 <= self.share <= 1:
            raise ValueError('share must lie between 0 and 1')


@dataclasses.dataclass(frozen=True, slots=True)
class Allow:
    """Restrict the ranks that may run on an endpoint.

    Attributes
    ----------
    endpoint : str
    ranks : tuple of Rank
    """

    endpoint: str
    ranks: tuple


@dataclasses.dataclass(frozen=True, slots=True)
class SetFloor:
    """Reserve a share of the slots for a rank while it has work."""

    rank: Rank
    share: float

    def __post_init__(self):
        if not 0 <= self.share <= 1:
            raise ValueError('share must lie between 0 and 1')


@dataclasses.dataclass(frozen=True, slots=True)
class SetWeight:
    """Set an organisation's weight in fair queueing."""

    organisation: str
    weight: float

    def __post_init__(self):
        if not self.weight > 0:
            raise ValueError('weight must be above 0')


@dataclasses.dataclass(frozen=True, slots=True)
class Join:
    """Add an instance to the members; instances issue it themselves."""

    instance: str


@dataclasses.dataclass(frozen=True, slots=True)
class Leave:
    """Remove an instance from the members.

    Attributes
    ----------
    instance : str
    ended : bool
        Whether an operator declares that its process has ended, so that
        acceptance of versions no longer waits for it.
    """

    instance: str
    ended: bool = False


Intent = (
    Withdraw
    | Return
    | StopInstance
    | Shed
    | Allow
    | SetFloor
    | SetWeight
    | Join
    | Leave
)


def get_subject(intent):
    """Return the subject of an intent; intents on one subject compete.

    Parameters
    ----------
    intent : Intent

    Returns
    -------
    str

    Examples
    --------
    >>> get_subject(Withdraw('gpu-1')) == get_subject(Return('gpu-1'))
    True
    """
    match intent:
        case Withdraw() | Return():
            return f'endpoint:{intent.endpoint}'
        case StopInstance():
            return f'instance:{intent.instance}'
        case Shed(rank=rank, organisation=org, model=model):
            return f'shed:{rank}:{org}:{model}'
        case Allow():
            return f'allowed:{intent.endpoint}'
        case SetFloor():
            return f'floor:{intent.rank}'
        case SetWeight():
            return f'weight:{intent.organisation}'
        case Join() | Leave():
            return f'member:{intent.instance}'
    raise TypeError(f'not an intent: {intent!r}')
