"""Entry instances of the system, this one included."""

import dataclasses
import enum


class InstanceState(enum.Enum):
    """What this instance believes about another one."""

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
        Grows with each start of the same name.
    state : InstanceState
    config_version : int
        At ``heard_at`` it had no higher version in force.
    heard_at : float
        Latest time at which it was certainly alive: the time at which
        the request was sent that it answered, seconds.
    stopping : bool
        Whether it said that it takes no new work.
    rooted : bool
        Whether, at ``heard_at``, its configuration had been confirmed
        by a reading of the platform made since its start.
    acked_version : int
        Highest version that it was ever heard to have in force.
    acked_at : float
        When ``acked_version`` was first heard, seconds.
    absent_since : float or None
        First answer of the platform's list since which it was missing
        from each answer, seconds.
    listed : bool
        Whether the platform's list holds it.
    streams : int
        Streams that it carries, as last heard.
    platform_at : float
        Latest time at which it certainly reached the platform, by
        this instance's clock, seconds.
    next_beat_at : float
        When the next heartbeat to it is due, seconds.
    beat_pending : bool
        Whether a heartbeat to it awaits its answer.
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
