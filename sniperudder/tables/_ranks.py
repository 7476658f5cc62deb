"""Ranks (priority classes) of work and the policy of each."""

import dataclasses
import enum


class Rank(enum.IntEnum):
    """Priority class of work; lower values take precedence."""

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
        Minimum share of the slots, weighted by speed, that this rank
        keeps while it has work, 0 to 1.
    max_wait_s : float
        Longest expected wait before the first token, seconds; work with
        a longer expected wait is refused.
    max_queued : int
        Largest number of queued requests of this rank.
    deadline_s : float
        Time allowed for a whole answer if the caller gives no deadline,
        seconds.
    """

    floor: float
    max_wait_s: float
    max_queued: int
    deadline_s: float
