"""Typed records of a settings file."""

import dataclasses
import enum

from sniperudder.tables import Policy
from sniperudder.tables import Rank


class Role(enum.IntEnum):
    """Permissions of an operator; a role includes all lower roles."""

    LOOK = 0
    OPERATE = 1
    ADMINISTER = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Mistake:
    """One mistake in a settings file.

    Attributes
    ----------
    section, key : str
        Location; empty if the mistake is not limited to one section or
        key.
    found : str
        What was read.
    allowed : str
        Description of the allowed values.
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
    """Settings of the instance itself.

    Attributes
    ----------
    name, data_centre : str
    caller_address, admin_address, peer_address : str
        ``host:port`` to listen on.
    threads : int
        Number of threads that serve callers.
    log : str
        Path of the log, or ``-`` for standard error.
    seed : int or None
        Seed of the random generator; None for a new seed at each start.
    peer_key_file, peer_key_env : str
        File or environment variable that holds the key shared by the
        peers; empty if not set.
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
    """The table service, object store and instance list of the platform.

    Attributes
    ----------
    address : str
        ``host:port``.
    timeout_s : float
        Time-out of a call, seconds.
    """

    address: str
    timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Key:
    """An API key of a caller.

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
    """An operator, who may run queries and, by role, commands.

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
    """The network between two data centres, symmetric.

    Attributes
    ----------
    first, second : str
    latency_s : float
        One-way latency, seconds.
    mbit_per_s : float
        Bandwidth, megabits per second.
    """

    first: str
    second: str
    latency_s: float
    mbit_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """Another entry instance, known before the platform list is read.

    Attributes
    ----------
    name, address, data_centre : str
    """

    name: str
    address: str
    data_centre: str


@dataclasses.dataclass(slots=True)
class Settings:
    """The contents of a settings file.

    Attributes
    ----------
    instance : InstanceSettings or None
        None only until the file has been read, or if it is invalid.
    platform : PlatformSettings or None
        Likewise.
    policy : sniperudder.tables.Policy
    models, endpoints, services, organisations : dict
        Rows of ``sniperudder.tables`` by name; copied into the tables.
    keys, operators, peers : dict
        Records by name.
    links : dict of tuple of str to Link
        By the pair of data centres, in the order of the heading.
    peer_key : bytes or None
        Secret shared by the entry instances.
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
