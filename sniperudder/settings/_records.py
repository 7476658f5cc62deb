"""What a settings file says, as typed records."""

import dataclasses
import enum

from sniperudder.tables import Policy
from sniperudder.tables import Rank


class Role(enum.IntEnum):
    """What an operator may do; a higher role includes the lower ones."""

    LOOK = 0
    OPERATE = 1
    ADMINISTER = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Mistake:
    """One mistake in a settings file.

    Attributes
    ----------
    section, key : str
        Where it is; empty where it concerns more than that.
    found : str
        What was read.
    allowed : str
        What is allowed there.
    """

    section: str
    key: str
    found: str
    allowed: str

    def __str__(self):
        place = f'[{self.section}]' if self.section else 'file'
        if self.key:
            place = f'{place} {self.key}'
        return f'{place}: read {self.found}; allowed: {self.allowed}'


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceSettings:
    """The process itself.

    Attributes
    ----------
    name, data_centre : str
    caller_address, admin_address, peer_address : str
        ``host:port`` to listen on.
    threads : int
        Threads that serve callers.
    log : str
        Path, or ``-`` for standard error.
    seed : int or None
        Seed of the random source; None for a different one each time.
    peer_key_file, peer_key_env : str
        File or environment variable that holds the peers' shared key.
    """

    name: str
    data_centre: str
    caller_address: str
    admin_address: str
    peer_address: str
    threads: int
    log: str
    seed: int | None
    peer_key_file: str
    peer_key_env: str


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformSettings:
    """The platform's table service, object store and list.

    Attributes
    ----------
    address : str
        ``host:port``.
    timeout_s : float
        Longest wait for an answer, seconds.
    """

    address: str
    timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Key:
    """A caller's key.

    Attributes
    ----------
    name, organisation : str
    rank : Rank
    digest : bytes
        SHA-256 of the key.
    """

    name: str
    organisation: str
    rank: Rank
    digest: bytes = dataclasses.field(repr=False)


@dataclasses.dataclass(frozen=True, slots=True)
class Operator:
    """Somebody who asks queries or gives commands.

    Attributes
    ----------
    name : str
    role : Role
    digest : bytes
        SHA-256 of the operator's key.
    """

    name: str
    role: Role
    digest: bytes = dataclasses.field(repr=False)


@dataclasses.dataclass(frozen=True, slots=True)
class Link:
    """The network between two data centres, alike both ways.

    Attributes
    ----------
    first, second : str
    latency_s : float
        One way, seconds.
    mbit_per_s : float
        Bandwidth, megabits a second.
    """

    first: str
    second: str
    latency_s: float
    mbit_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """Another entry instance, known before the platform's list.

    Attributes
    ----------
    name, address, data_centre : str
    """

    name: str
    address: str
    data_centre: str


@dataclasses.dataclass(slots=True)
class Settings:
    """All that a settings file says.

    Attributes
    ----------
    instance : InstanceSettings or None
        None only while a file is being read.
    platform : PlatformSettings or None
        Likewise.
    policy : sniperudder.tables.Policy
    models, endpoints, services, organisations : dict
        Rows of ``sniperudder.tables`` by name; templates to copy.
    keys, operators, peers : dict
        Records by name.
    links : dict of tuple of str to Link
        By the two data centres, as named.
    peer_key : bytes or None
        Secret that the entry instances share.
    """

    instance: InstanceSettings | None = None
    platform: PlatformSettings | None = None
    policy: Policy = dataclasses.field(default_factory=Policy)
    models: dict = dataclasses.field(default_factory=dict)
    endpoints: dict = dataclasses.field(default_factory=dict)
    services: dict = dataclasses.field(default_factory=dict)
    organisations: dict = dataclasses.field(default_factory=dict)
    keys: dict = dataclasses.field(default_factory=dict)
    operators: dict = dataclasses.field(default_factory=dict)
    links: dict = dataclasses.field(default_factory=dict)
    peers: dict = dataclasses.field(default_factory=dict)
    peer_key: bytes | None = dataclasses.field(default=None, repr=False)
