"""All tables of an instance and their construction."""

import collections
import dataclasses
import random

from sniperudder.tables import _configuration
from sniperudder.tables import _ranks
from sniperudder.tables import _tickets

_MAX_REFUSALS = 4096


def _default_ranks():
    return {
        _ranks.Rank.URGENT: _ranks.RankPolicy(0.2, 2.0, 1000, 60.0),
        _ranks.Rank.MIDDLE: _ranks.RankPolicy(0.1, 10.0, 1000, 120.0),
        _ranks.Rank.LEAST: _ranks.RankPolicy(0.1, 600.0, 1000, 3600.0),
    }


def _create_ring():
    return collections.deque(maxlen=_MAX_REFUSALS)


@dataclasses.dataclass(slots=True)
class Policy:
    """Limits and times from the settings, in force from the start.

    Attributes
    ----------
    ranks : dict of Rank to RankPolicy
    heartbeat_s : float
        Time between heartbeats to one peer.
    poll_s : float
        Time between checks of the configuration's head.
    freshness_s : float
        Age of the last confirmation after which no new work is sent.
    suspect_s : float
        Silence after which a peer counts as suspect.
    list_lag_s : float
        Time after which an instance that is missing from each answer of
        the platform's list has ended. It must exceed the list's lag and
        any time for which the list leaves out an instance that runs but
        cannot be reached.
    command_s : float
        Time after which an unfinished command is given up.
    max_attempts : int
        Attempts of one request.
    retry_share : float
        Retries allowed as a share of first attempts.
    step_timeout_s : float
        Longest wait for one step of an endpoint.
    order_timeout_s : float
        Longest wait for a service's answer.
    platform_timeout_s : float
        Longest wait for an answer of the platform.
    drain_s : float
        Longest duration of a planned stop.
    balancer_lag_s : float
        Time for which a stopping instance still takes new work, since
        the platform's balancer sends it on.
    placement : str
        Who decides about endpoints: ``home``, ``independent`` or
        ``round_robin``.
    """

    ranks: dict = dataclasses.field(default_factory=_default_ranks)
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
    """The one data structure that all systems share.

    Attributes
    ----------
    me : str
        Name of this instance.
    data_centre : str
    rng : random.Random
        The only source of randomness.
    policy : Policy
    config : Configuration
    changes : list of Change
        Changes applied, oldest first.
    applied_at : dict of int to float
        When each of them came into force here, seconds.
    instances, endpoints, models, services, organisations : dict
        Records by name. ``instances`` holds this instance too.
    requests, orders : dict
        Records of work that is not done, by name.
    queues : dict of Rank to dict of str to deque of str
        Requests of queued tickets by rank and organisation.
    suspicions : dict of str to Suspicion
        By fingerprint.
    confirmed_at : float
        Latest time at which the configuration was certainly current.
    platform_at : float
        Latest time at which the platform certainly answered.
    next_poll_at, next_list_at : float
        When the next check of the configuration's head and of the
        platform's list of instances is due, seconds.
    poll_pending : bool
        Whether a check of the head awaits its answer.
    stopping : bool
        Whether this instance is to stop.
    refuse_at : float
        From when on it takes no new work, seconds.
    started_at : float or None
        Time of the first tick, seconds.
    ticked_at : float
        Time of the last tick, seconds.
    rooted : bool
        Whether a reading of the platform made since the start, by this
        instance or a peer, showed no version above the one in force.
    head_version : int
    head_at : float
        The latest reading of the configuration's head: at or after
        ``head_at`` the head stood at ``head_version``.
    known_version : int
        Highest version known to be committed.
    pending : dict of int to Change
        Committed changes that await the ones before them, by version.
    fetch_pending : bool
        Whether a read of missing changes awaits its answer.
    next_fetch_at : float
        When missing changes may be read again, seconds.
    next_majority_at : float
        When the majority's evidence may be counted again, seconds.
    snapshot_read : bool
        Whether the kept snapshot was read since changes last were.
    rosters : list of Roster
        Members by version, oldest first; all that a fresh instance may
        still use.
    acceptances : list of Acceptance
        Versions known to be accepted, oldest first.
    commands : dict of str to Command
        Commands given at this instance, by identifier.
    listed_at : float
        Time of the last answer of the platform's list, seconds.
    next_beats_at : float
        When the next round of heartbeats is due, seconds.
    counters : dict of str to int
        Counts of what was decided, for metrics.
    tickets : dict of str to Ticket
        By request, for the models that this instance is the home of.
    granted : dict of str to Ticket
        Those of the tickets that hold a slot.
    revoked : dict of str to float
        When a slot was asked back that is not yet released, seconds.
    queued : dict of Rank to int
        Number of queued tickets.
    grant_rates : dict of Rank to GrantRate
    avoided : dict of str to float
        Until when an instance that did not answer is no home, seconds.
    next_hold_at : float
        When the homes are told next what this instance holds, seconds.
    next_sweep_at : float
        When the tickets are looked through next, seconds.
    virtual : dict of Rank to float
        Virtual time of the fair queue of each rank, tokens.
    running : dict of Rank to int
        Streams of each rank that hold slots.
    speeds : dict of Rank to float
        Tokens a second of the chains that each rank holds, each alone.
    abandoned : dict of (str, int) to Abandoned
        Steps under way whose attempt has ended, by request and
        attempt.
    timers : list of (float, str)
        Heap of times at which a request must be looked at, seconds.
    retry_tokens : float
        Retries that the retry budget allows now.
    arrivals : dict of str to RequestArrived or OrderArrived
        Work that has no outcome yet, by name.
    refusals : deque of Refusal
        The latest outcomes other than whole answers, oldest first.
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
    confirmed_at: float = float('-inf')
    platform_at: float = float('-inf')
    next_poll_at: float = float('-inf')
    poll_pending: bool = False
    next_list_at: float = float('-inf')
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
    next_hold_at: float = float('-inf')
    next_sweep_at: float = float('-inf')
    virtual: dict = dataclasses.field(default_factory=dict)
    running: dict = dataclasses.field(default_factory=dict)
    speeds: dict = dataclasses.field(default_factory=dict)
    abandoned: dict = dataclasses.field(default_factory=dict)
    timers: list = dataclasses.field(default_factory=list)
    retry_tokens: float = 10.0
    arrivals: dict = dataclasses.field(default_factory=dict)
    refusals: collections.deque = dataclasses.field(
        default_factory=_create_ring
    )


def create_tables(me, data_centre, seed=0, policy=None):
    """Return the empty tables of an instance.

    Parameters
    ----------
    me : str
        Name of the instance.
    data_centre : str
    seed : int
        Seed of the random source.
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
        virtual=dict.fromkeys(_ranks.RANKS, 0.0),
        running=dict.fromkeys(_ranks.RANKS, 0),
        speeds=dict.fromkeys(_ranks.RANKS, 0.0),
        queued=dict.fromkeys(_ranks.RANKS, 0),
        grant_rates={rank: _tickets.GrantRate() for rank in _ranks.RANKS},
    )
