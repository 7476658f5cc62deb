"""Ranks of work and the policy of each."""

import dataclasses
import enum


class Rank(enum.IntEnum):
    """The priority class of a request; a lower value goes first."""

    URGENT = 0
    MIDDLE = 1
    LEAST = 2


RANKS = tuple(Rank)


@dataclasses.dataclass(slots=True)
class RankPolicy:
    """Limits and shares of one rank.

    Attributes
    ----------
    floor : float
        Share of the slots, weighed by speed, that this rank keeps
        while it has work, 0 to 1.
    max_wait_s : float
        Longest expected wait before the first token; work that would
        wait longer is refused.
    max_queued : int
        Largest number of queued requests of this rank.
    deadline_s : float
        Time allowed to a whole answer where the caller names none.
    """

    floor: float
    max_wait_s: float
    max_queued: int
    deadline_s: float
