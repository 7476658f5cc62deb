"""Heartbeats from other entry instances."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """Name and address of another instance.

    It is not necessarily a member of the configuration.

    Attributes
    ----------
    name : str
    address : str
        ``host:port`` of its peer interface.
    data_centre : str
    incarnation : int
        Number that grows with each start under the same name.
    """

    name: str
    address: str
    data_centre: str
    incarnation: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """A heartbeat, or the answer to one.

    Attributes
    ----------
    sender : str
    address : str
        ``host:port`` of the sender's peer interface.
    data_centre : str
    incarnation : int
        Number that grows with each start of the sender.
    config_version : int
        Version in force at the sender.
    stopping : bool
    streams : int
        Number of the sender's streams.
    platform_age_s : float
        Time since the sender certainly reached the platform, seconds.
    changes : tuple of Change
        Changes above the version that the receiver is known to have.
    suspicions : tuple of Suspicion
        Recently updated suspicions and a sample of others.
    members : tuple of Member
        Some of the instances that the sender knows.
    head_version : int
    head_age_s : float
        Version of the configuration's head by the sender's latest read,
        and the time since that read was requested, seconds.
    rooted : bool
        See ``Tables.rooted``.
    accepted_version : int
        Highest version that the sender knows to be accepted.
    roster_version : int
        Version of the roster that gives the order of the digest.
    digest_version : int
        Version from which the lags in the digest are counted.
    snapshot : str
        Snapshot of the configuration, for a receiver that lags far
        behind; see ``sniperudder.systems.configuration``.
    digest : bytes
        Digest of the members' states, see
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
class HeartbeatReceived:
    """A peer sent a heartbeat; the core answers with its own."""

    beat: Heartbeat


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatReturned:
    """A peer answered a heartbeat.

    Attributes
    ----------
    beat : Heartbeat
    sent_at : float
        When the heartbeat that it answers was sent, seconds.
    """

    beat: Heartbeat
    sent_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatLost:
    """A heartbeat got no answer."""

    peer: str
