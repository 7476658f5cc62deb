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
    virtual_times : dict of Rank to float
        Virtual time of the organisation in the fair queue of each rank,
        tokens divided by weight.
    """

    name: str
    weight: float = 1.0
    virtual_times: dict = dataclasses.field(default_factory=dict)
