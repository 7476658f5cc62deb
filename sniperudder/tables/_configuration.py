"""Versioned configuration of the fleet, changed by operators."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One committed change of the configuration.

    Attributes
    ----------
    version : int
        Position in the total order of changes, from 1.
    command_id : str
        Identifier of the command that made it.
    operator : str
    kind : str
        Name of the intent's class, see ``sniperudder.intents``.
    body : str
        The intent as JSON.
    issued_at : str
        Wall-clock time at which the command was given.
    """

    version: int
    command_id: str
    operator: str
    kind: str
    body: str
    issued_at: str = ''


@dataclasses.dataclass(slots=True)
class Configuration:
    """The configuration in force at this instance.

    Attributes
    ----------
    version : int
        Number of the last change applied.
    withdrawn : set of str
        Endpoints that get no new work.
    stopping : set of str
        Instances that operators have told to stop.
    shed_ranks : dict of Rank to float
        Share of arrivals refused, 0 to 1.
    shed_organisations, shed_models : dict of str to float
        Share of arrivals refused, 0 to 1.
    allowed_ranks : dict of str to frozenset of Rank
        Ranks that may run on an endpoint; all if the endpoint is absent.
    floors : dict of Rank to float
        Floors that override those of the settings.
    weights : dict of str to float
        Weights of organisations.
    members : frozenset of str
        Instances whose majority accepts versions.
    ended : frozenset of str
        Former members whose processes operators have declared ended.
    """

    version: int = 0
    withdrawn: set = dataclasses.field(default_factory=set)
    stopping: set = dataclasses.field(default_factory=set)
    shed_ranks: dict = dataclasses.field(default_factory=dict)
    shed_organisations: dict = dataclasses.field(default_factory=dict)
    shed_models: dict = dataclasses.field(default_factory=dict)
    allowed_ranks: dict = dataclasses.field(default_factory=dict)
    floors: dict = dataclasses.field(default_factory=dict)
    weights: dict = dataclasses.field(default_factory=dict)
    members: frozenset = frozenset()
    ended: frozenset = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Roster:
    """Members of the fleet as of a version.

    Attributes
    ----------
    version : int
        First version with these members.
    members : tuple of str
        Sorted by name.
    """

    version: int
    members: tuple


@dataclasses.dataclass(frozen=True, slots=True)
class Acceptance:
    """A version and the time at which it became known to be accepted.

    Attributes
    ----------
    version : int
    at : float
        Seconds on this instance's clock.
    """

    version: int
    at: float
