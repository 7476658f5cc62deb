"""Messages of other entry instances."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Beat:
    """A heartbeat, and the answer to one.

    Attributes
    ----------
    sender : str
    address : str
        ``host:port`` of the sender's peer interface.
    data_centre : str
    incarnation : int
    config_version : int
        Version in force at the sender.
    stopping : bool
    streams : int
        Streams that the sender carries.
    platform_age_s : float
        Time since the sender certainly reached the platform, seconds.
    changes : tuple of Change
        Changes above the version that the receiver is known to have.
    suspicions : tuple of Suspicion
        Marks that changed lately.
    members : tuple of Member
        What the sender knows of other instances.
    """

    sender: str
    address: str
    data_centre: str
    incarnation: int
    config_version: int
    stopping: bool = False
    streams: int = 0
    platform_age_s: float = float('inf')
    changes: tuple = ()
    suspicions: tuple = ()
    members: tuple = ()


@dataclasses.dataclass(frozen=True, slots=True)
class BeatReceived:
    """A peer sent a heartbeat; the core answers with its own."""

    beat: Beat


@dataclasses.dataclass(frozen=True, slots=True)
class BeatReturned:
    """A peer answered a heartbeat.

    Attributes
    ----------
    beat : Beat
    sent_at : float
        When the heartbeat that it answers was sent, seconds.
    """

    beat: Beat
    sent_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class BeatLost:
    """A heartbeat brought no answer."""

    peer: str
