"""Organisations and their shares of the fleet."""

import dataclasses


@dataclasses.dataclass(slots=True)
class Organisation:
    """A customer of the system.

    Attributes
    ----------
    name : str
    weight : float
        Share relative to other organisations of the same rank.
    finish : dict of Rank to float
        Virtual finish time of the last request in each rank, in tokens
        of work divided by weight.
    """

    name: str
    weight: float = 1.0
    finish: dict = dataclasses.field(default_factory=dict)
