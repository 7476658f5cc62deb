"""Entry instances of the fleet, including this one."""

import dataclasses
import enum


class InstanceState(enum.Enum):
    """State of another instance as seen by this one.

    Attributes
    ----------
    LIVE
        It was certainly alive within the last ``suspect_s`` seconds.
    SUSPECT
        It has been silent for longer, and there is no sign of its end.
    LEAVING
        It is alive and has announced that it is stopping.
    GONE
        It is silent, and it was stopping or is missing from the
        platform's list.
    """

    LIVE = 'live'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'
    GONE = 'gone'


@dataclasses.dataclass(slots=True)
class Instance:
    """An entry instance.

    Attributes
    ----------
    name : str
    address : str
        ``host:port`` of its peer interface.
    data_centre : str
    incarnation : int
        Number that grows with each start under the same name.
    state : InstanceState
    config_version : int
        Upper bound of the version in force there at ``heard_at``.
    heard_at : float
        Latest time at which it was certainly alive, seconds: the time of
        sending of the latest heartbeat that it is known to have answered.
    stopping : bool
        Whether it has announced that it is stopping.
    rooted : bool
        Whether, at ``heard_at``, its configuration had been confirmed
        by a read of the platform made since its start.
    acked_version : int
        Highest version that it is known to have, or have had, in force.
    acked_at : float
        When ``acked_version`` became known, seconds.
    absent_since : float or None
        Time of the first of the platform's lists from which it has been
        missing without interruption, seconds; None if it is not missing
        or has been heard since.
    listed : bool
        Whether it is in the platform's latest list.
    streams : int
        Number of its streams, by its latest heartbeat.
    platform_at : float
        Latest time at which it certainly reached the platform, by
        this instance's clock, seconds.
    next_beat_at : float
        When the next heartbeat to it is due, seconds.
    beat_pending : bool
        Whether a heartbeat to it is unanswered.
    """

    name: str
    address: str
    data_centre: str
    incarnation: int = 0
    state: InstanceState = InstanceState.SUSPECT
    config_version: int = 0
    heard_at: float = float('-inf')
    listed: bool = False
    streams: int = 0
    platform_at: float = float('-inf')
    next_beat_at: float = float('-inf')
    beat_pending: bool = False
    stopping: bool = False
    rooted: bool = False
    acked_version: int = 0
    acked_at: float = float('-inf')
    absent_since: float | None = None
