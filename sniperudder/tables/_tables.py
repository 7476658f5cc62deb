"""Tables of an instance and their construction."""

import collections
import dataclasses
import random

from sniperudder.tables import _configuration
from sniperudder.tables import _ranks
from sniperudder.tables import _tickets

_MAX_REFUSALS = 4096


def _create_default_ranks():
    return {
        _ranks.Rank.URGENT: _ranks.RankPolicy(0.2, 2.0, 1000, 60.0),
        _ranks.Rank.MIDDLE: _ranks.RankPolicy(0.1, 10.0, 1000, 120.0),
        _ranks.Rank.LEAST: _ranks.RankPolicy(0.1, 600.0, 1000, 3600.0),
    }


def _create_refusals():
    return collections.deque(maxlen=_MAX_REFUSALS)


@dataclasses.dataclass(slots=True)
class Policy:
    """Limits and durations from the settings, fixed at the start.

    Attributes
    ----------
    ranks : dict of Rank to RankPolicy
    heartbeat_s : float
        Interval between rounds of heartbeats, seconds.
    poll_s : float
        Interval between polls of the configuration's head, seconds.
    freshness_s : float
        Age of the last confirmation after which no new work is sent,
        seconds.
    suspect_s : float
        Silence after which a peer is suspected, seconds.
    list_lag_s : float
        Time after which an instance that is missing from every answer of
        the platform's list is considered ended, seconds. It must exceed
        the list's lag and any time for which the list may omit an
        instance that runs but cannot be reached.
    command_s : float
        Time after which an unfinished command times out, seconds.
    max_attempts : int
        Largest number of attempts of one request.
    retry_share : float
        Retries allowed as a share of first attempts.
    step_timeout_s : float
        Longest wait for one step of an endpoint, seconds.
    order_timeout_s : float
        Longest wait for a service's answer, seconds.
    platform_timeout_s : float
        Longest wait for an answer of the platform, seconds.
    drain_s : float
        Longest duration of a graceful shutdown, seconds.
    balancer_lag_s : float
        Time for which a stopping instance still accepts new work, since
        the platform's balancer continues to route work to it, seconds.
    placement : str
        Strategy that allocates slots of endpoints: ``home``,
        ``independent`` or ``round_robin``.
    """

    ranks: dict = dataclasses.field(default_factory=_create_default_ranks)
    heartbeat_s: float = 0.5
    poll_s: float = 1.0
    freshness_s: float = 2.0
    suspect_s: float = 2.0
    list_lag_s: float = 900.0
    command_s: float = 10.0
    max_attempts: int = 5
    retry_share: float = 0.2
    step_timeout_s: float = 10.0
    order_timeout_s: float = 10.0
    platform_timeout_s: float = 2.0
    drain_s: float = 3600.0
    balancer_lag_s: float = 5.0
    placement: str = 'home'


@dataclasses.dataclass(slots=True)
class Tables:
    """State of an instance, shared by all systems.

    Attributes
    ----------
    me : str
        Name of this instance.
    data_centre : str
    rng : random.Random
        The only source of randomness, so that decisions are repeatable.
    policy : Policy
    config : Configuration
    changes : list of Change
        Latest changes applied, oldest first.
    applied_at : dict of int to float
        When each of them came into force here, by version, seconds.
    instances, endpoints, models, services, organisations : dict
        Records by name. ``instances`` includes this instance.
    requests, orders : dict
        Records of unfinished work, by name.
    queues : dict of Rank to dict of str to deque of str
        Requests of queued tickets by rank and organisation.
    suspicions : dict of str to Suspicion
        By fingerprint.
    part_suspicions : dict of str to Suspicion
        By the key of a part of prompts.
    confirmed_at : float
        Latest time at which the configuration was certainly current.
    platform_at : float
        Latest time at which the platform certainly answered.
    next_poll_at, next_list_at : float
        When the next poll of the configuration's head and the next read
        of the platform's list of instances are due, seconds.
    poll_pending : bool
        Whether a poll of the head is unanswered.
    platform_era : int
        Latest era of the platform that is known; 0 for none. It rises each
        time the platform is restored from a copy.
    era_seen_at : float
        When an answer last stated an era, seconds.
    restored_at : float
        When this instance learnt of the latest restoration, or the platform
        answered again after it, seconds.
    lost_version : int
        Version that was in force here at the latest restoration.
    restoring_change : bool
        Whether a change is being written again.
    next_restore_at : float
        When the next change may be written again, seconds.
    written_orders : dict of str to WrittenOrder
        Rows of orders that this instance wrote lately, by key, oldest first.
    stopping : bool
        Whether this instance is stopping.
    refuse_at : float
        Time from which it refuses new work, seconds.
    started_at : float or None
        Time of the first tick, or of the first after a pause so long
        that others may have considered the instance ended, seconds.
    ticked_at : float
        Time of the last tick, seconds.
    rooted : bool
        Whether a read of the platform made since ``started_at``, by this
        instance or a peer, showed no version above the one in force.
    head_version : int
    head_at : float
        Result of the latest read of the configuration's head: at or
        after ``head_at``, seconds, its version was ``head_version``.
    known_version : int
        Highest version known to be committed.
    pending : dict of int to Change
        Committed changes that wait for earlier ones, by version.
    fetch_pending : bool
        Whether a read of missing changes is unanswered.
    next_fetch_at : float
        When missing changes may be read again, seconds.
    next_majority_at : float
        When the majority's evidence may be evaluated again, seconds.
    snapshot_read : bool
        Whether the stored snapshot was read after the last read of
        changes.
    rosters : list of Roster
        Rosters that a fresh instance may still use, oldest first.
    acceptances : list of Acceptance
        Versions known to be accepted, oldest first.
    commands : dict of str to Command
        Commands given at this instance, by identifier.
    listed_at : float
        Time of the last answer of the platform's list, seconds.
    next_beats_at : float
        When the next round of heartbeats is due, seconds.
    counters : dict of str to int
        Numbers of decisions by kind, for metrics.
    tickets : dict of str to Ticket
        Tickets by request, for the models of which this instance is the
        home.
    granted : dict of str to Ticket
        The tickets that hold a slot.
    revoked : dict of str to float
        When each slot that is not yet released was revoked, seconds.
    queued : dict of Rank to int
        Number of queued tickets.
    grant_rates : dict of Rank to GrantRate
    avoided : dict of str to float
        Time until which an instance that did not answer is not used as
        a home, seconds.
    next_holdings_at : float
        When the slots held by this instance are next reported to their
        homes, seconds.
    next_sweep_at : float
        When the tickets are next checked for expiry, seconds.
    virtual_times : dict of Rank to float
        Virtual time of the fair queue of each rank, tokens divided by
        weight.
    running : dict of Rank to int
        Number of streams of each rank that hold slots.
    granted_speeds : dict of Rank to float
        Sum of the unloaded speeds of the chains that each rank holds,
        tokens per second.
    abandoned : dict of (str, int) to AbandonedStep
        Steps in flight whose attempt has ended, by request and attempt.
    timers : list of (float, str)
        Heap of the times at which requests must be checked, seconds,
        with the names of the requests.
    retry_tokens : float
        Number of retries that the retry budget allows at present.
    arrivals : dict of str to RequestArrived or OrderArrived
        Work that has no outcome yet, by name.
    refusals : deque of Refusal
        Latest outcomes other than whole answers, oldest first.
    """

    me: str
    data_centre: str
    rng: random.Random
    policy: Policy
    config: _configuration.Configuration
    changes: list = dataclasses.field(default_factory=list)
    applied_at: dict = dataclasses.field(default_factory=dict)
    instances: dict = dataclasses.field(default_factory=dict)
    endpoints: dict = dataclasses.field(default_factory=dict)
    models: dict = dataclasses.field(default_factory=dict)
    services: dict = dataclasses.field(default_factory=dict)
    organisations: dict = dataclasses.field(default_factory=dict)
    requests: dict = dataclasses.field(default_factory=dict)
    orders: dict = dataclasses.field(default_factory=dict)
    queues: dict = dataclasses.field(default_factory=dict)
    suspicions: dict = dataclasses.field(default_factory=dict)
    part_suspicions: dict = dataclasses.field(default_factory=dict)
    confirmed_at: float = float('-inf')
    platform_at: float = float('-inf')
    next_poll_at: float = float('-inf')
    poll_pending: bool = False
    next_list_at: float = float('-inf')
    platform_era: int = 0
    era_seen_at: float = float('-inf')
    restored_at: float = float('-inf')
    lost_version: int = 0
    restoring_change: bool = False
    next_restore_at: float = float('-inf')
    written_orders: dict = dataclasses.field(default_factory=dict)
    stopping: bool = False
    refuse_at: float = float('inf')
    started_at: float | None = None
    ticked_at: float = float('-inf')
    rooted: bool = False
    head_version: int = 0
    head_at: float = float('-inf')
    known_version: int = 0
    pending: dict = dataclasses.field(default_factory=dict)
    fetch_pending: bool = False
    next_fetch_at: float = float('-inf')
    next_majority_at: float = float('-inf')
    snapshot_read: bool = False
    rosters: list = dataclasses.field(default_factory=list)
    acceptances: list = dataclasses.field(default_factory=list)
    commands: dict = dataclasses.field(default_factory=dict)
    listed_at: float = float('-inf')
    next_beats_at: float = float('-inf')
    counters: dict = dataclasses.field(default_factory=dict)
    tickets: dict = dataclasses.field(default_factory=dict)
    granted: dict = dataclasses.field(default_factory=dict)
    revoked: dict = dataclasses.field(default_factory=dict)
    queued: dict = dataclasses.field(default_factory=dict)
    grant_rates: dict = dataclasses.field(default_factory=dict)
    avoided: dict = dataclasses.field(default_factory=dict)
    next_holdings_at: float = float('-inf')
    next_sweep_at: float = float('-inf')
    virtual_times: dict = dataclasses.field(default_factory=dict)
    running: dict = dataclasses.field(default_factory=dict)
    granted_speeds: dict = dataclasses.field(default_factory=dict)
    abandoned: dict = dataclasses.field(default_factory=dict)
    timers: list = dataclasses.field(default_factory=list)
    retry_tokens: float = 10.0
    arrivals: dict = dataclasses.field(default_factory=dict)
    refusals: collections.deque = dataclasses.field(
        default_factory=_create_refusals
    )


def create_tables(me, data_centre, seed=0, policy=None):
    """Return the empty tables of an instance.

    Parameters
    ----------
    me : str
        Name of the instance.
    data_centre : str
    seed : int
        Seed of the random generator.
    policy : Policy, optional

    Returns
    -------
    Tables

    Examples
    --------
    >>> T = create_tables('entry-1', 'milan')
    >>> T.me, T.config.version
    ('entry-1', 0)
    """
    return Tables(
        me=me,
        data_centre=data_centre,
        rng=random.Random(seed),
        policy=policy or Policy(),
        config=_configuration.Configuration(),
        queues={rank: {} for rank in _ranks.RANKS},
        virtual_times=dict.fromkeys(_ranks.RANKS, 0.0),
        running=dict.fromkeys(_ranks.RANKS, 0),
        granted_speeds=dict.fromkeys(_ranks.RANKS, 0.0),
        queued=dict.fromkeys(_ranks.RANKS, 0),
        grant_rates={rank: _tickets.GrantRate() for rank in _ranks.RANKS},
    )
