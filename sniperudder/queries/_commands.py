"""Typed commands, as the parser makes them."""

import dataclasses
import typing

from sniperudder.tables import Rank


@dataclasses.dataclass(frozen=True, slots=True)
class WithdrawEndpoint:
    """Send no new work to an endpoint.

    Attributes
    ----------
    endpoint : str
    force : bool
        Whether to do so even if no whole chain remains.
    """

    endpoint: str
    force: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ReturnEndpoint:
    """Send work to a withdrawn endpoint again."""

    endpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class StopInstance:
    """Stop an instance once its work in flight is done."""

    instance: str


@dataclasses.dataclass(frozen=True, slots=True)
class ShedRank:
    """Refuse a share of a rank's arrivals, 0 to 1."""

    rank: Rank
    share: float


@dataclasses.dataclass(frozen=True, slots=True)
class ShedOrganisation:
    """Refuse a share of an organisation's arrivals, 0 to 1."""

    organisation: str
    share: float


@dataclasses.dataclass(frozen=True, slots=True)
class ShedModel:
    """Refuse a share of a model's arrivals, 0 to 1."""

    model: str
    share: float


@dataclasses.dataclass(frozen=True, slots=True)
class AllowRanks:
    """Let only these ranks run on an endpoint.

    Attributes
    ----------
    endpoint : str
    ranks : tuple of Rank
        In rising order, without repeats.
    force : bool
        Whether to do so even if a rank is left with no whole chain.
    """

    endpoint: str
    ranks: tuple
    force: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class SetFloor:
    """Keep a share of the slots for a rank, 0 to 1."""

    rank: Rank
    share: float


@dataclasses.dataclass(frozen=True, slots=True)
class SetWeight:
    """Give an organisation a weight relative to the others."""

    organisation: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class PlanCommand:
    """Tell what a command would do, without doing it."""

    command: typing.Any


@dataclasses.dataclass(frozen=True, slots=True)
class VerifyCommand:
    """Tell where a command is in force."""

    command_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class WatchCommand:
    """Tell where a command is in force, until it is everywhere."""

    command_id: str


Change = (
    WithdrawEndpoint
    | ReturnEndpoint
    | StopInstance
    | ShedRank
    | ShedOrganisation
    | ShedModel
    | AllowRanks
    | SetFloor
    | SetWeight
)
Command = Change | PlanCommand | VerifyCommand | WatchCommand
