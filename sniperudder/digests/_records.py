"""Records that instances exchange."""

import dataclasses
import enum

from sniperudder.digests import _crash_reports
from sniperudder import revisions


class Scope(enum.Enum):
    """What a digest covers.

    A notice tells of engines that have died and of nothing else; it replaces
    no digest.
    """

    INSTANCE = 0
    DATA_CENTRE = 1
    FLEET = 2
    NOTICE = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Load that one instance puts on an endpoint.

    Attributes
    ----------
    requests : int
        Requests in flight.
    token_layers : float
        Upper bound of the KV cache of these requests, tokens x layers.
    """

    requests: int
    token_layers: float


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """Fault notice: a pipeline stage that the sender found failing or dead.

    Attributes
    ----------
    endpoint : str
        Endpoint id.
    born_ms : int
        Start time of the endpoint, ms; identifies the run of the endpoint.
    left_s : float
        Remaining time for which the endpoint should be avoided, seconds.
    """

    endpoint: str
    born_ms: int
    left_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Digest:
    """State of one instance or the sum of several, as sent to peers.

    Attributes
    ----------
    sender : str
        Name of the instance.
    incarnation : int
        Wall-clock time of the sender's start, ms.
    sequence : int
        Incremented with each digest of an incarnation.
    loads : dict of str to Load
        Loads by endpoint id; endpoints without requests are omitted.
    faults : tuple of Fault
    lease : sniperudder.revisions.Revision
        Revision of the placement lease that the sender holds;
        `revisions.UNKNOWN` if it holds none.
    events, slow_events : int
        Stream events that the sender forwarded in the last second, and the
        number of them that followed a long gap.
    crossings : dict of (str, str) to float
        Tokens per second by pair of data centres.
    scope : Scope
    data_centre : str
        Data centre of the sender.
    instances : int
        Number of instances that the digest covers.
    included : tuple of (str, int, int)
        Sender, incarnation and sequence number of the digests of the sender's
        data centre that are part of a sum.
    table_revisions : dict of str to sniperudder.revisions.Revision
        State of the store at the last change of each table that the sender
        knows.
    crash_report : CrashReport
    restrictions : dict of (str, int) to Restriction
        By run id; see `sniperudder.fleet.Endpoint`.
    demands : dict of str to float
        Requests per second that the sender receives, by service; empty in
        sums.
    configuration_version : int
        Operators' version of the configuration in force; 0 if there is none.
    speeds : dict of (str, int) to Speed
        By run id.
    """

    sender: str
    incarnation: int
    sequence: int
    loads: dict
    faults: tuple
    lease: revisions.Revision = revisions.UNKNOWN
    events: int = 0
    slow_events: int = 0
    crossings: dict = dataclasses.field(default_factory=dict)
    scope: Scope = Scope.INSTANCE
    data_centre: str = ''
    instances: int = 1
    included: tuple = ()
    table_revisions: dict = dataclasses.field(default_factory=dict)
    crash_report: _crash_reports.CrashReport = dataclasses.field(
        default_factory=_crash_reports.CrashReport
    )
    restrictions: dict = dataclasses.field(default_factory=dict)
    demands: dict = dataclasses.field(default_factory=dict)
    configuration_version: int = 0
    speeds: dict = dataclasses.field(default_factory=dict)
