"""What instances tell each other."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """What one instance has in flight at an endpoint.

    Attributes
    ----------
    requests : int
    token_layers : float
        KV cache that these may take, tokens x layers.
    """

    requests: int
    token_layers: float


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A stage that an engine found dead.

    Attributes
    ----------
    endpoint : str
    born_ms : int
        Tells runs of the endpoint apart.
    left_s : float
        How much longer it should be avoided, seconds.
    """

    endpoint: str
    born_ms: int
    left_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Digest:
    """One instance's state, as sent to its peers.

    Attributes
    ----------
    sender : str
    incarnation : int
        Wall time of the sender's start, ms.
    sequence : int
        Grows with each digest of an incarnation.
    loads : dict of str to Load
        By endpoint id; endpoints without requests are left out.
    faults : tuple of Fault
    crashes : dict of str to int
        Crashes of endpoints by fingerprint of a request.
    lease_version : int
        Version of the lease of placement that the sender holds; 0 where
        it holds none.
    events, slow_events : int
        Events that the sender forwarded in the last second, and how many
        of them came after a long pause.
    crossings : dict of (str, str) to float
        Tokens a second between data centres.
    """

    sender: str
    incarnation: int
    sequence: int
    loads: dict
    faults: tuple
    crashes: dict
    lease_version: int = 0
    events: int = 0
    slow_events: int = 0
    crossings: dict = dataclasses.field(default_factory=dict)
