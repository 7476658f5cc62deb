"""Messages of other entry instances."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """Where another instance is found.

    Attributes
    ----------
    name, address, data_centre : str
    incarnation : int
    """

    name: str
    address: str
    data_centre: str
    incarnation: int = 0


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
        Some of the instances that the sender knows.
    head_version : int
    head_age_s : float
        The sender's latest reading of the configuration's head and the
        time since it was asked for, seconds.
    rooted : bool
        See ``Tables.rooted``.
    accepted_version : int
        Highest version that the sender knows to be accepted.
    roster_version : int
        Version of the roster that orders the digest.
    digest_version : int
        Version that the digest's differences are taken from.
    snapshot : str
        The whole configuration, for a receiver far behind; see
        ``sniperudder.systems.configuration``.
    digest : bytes
        What the sender knows of each member, see
        ``sniperudder.systems.membership``.
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
    head_version: int = 0
    head_age_s: float = float('inf')
    rooted: bool = False
    accepted_version: int = 0
    roster_version: int = 0
    digest_version: int = 0
    digest: bytes = b''
    snapshot: str = ''


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
