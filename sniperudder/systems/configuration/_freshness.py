"""Evidence that the configuration in force is the current one.

docs/CONFIGURATION.md gives the proof.
"""

import dataclasses

from sniperudder.effects import Transact
from sniperudder.inputs import Committed
from sniperudder.systems.configuration import _purposes
from sniperudder.systems.configuration import _rows

_POLL_JITTER = 0.2
_WITHDRAWAL_BOUND_S = 3.0
_TICK_INTERVAL_S = 0.1
_MAX_FRESHNESS_S = _WITHDRAWAL_BOUND_S - _TICK_INTERVAL_S


@dataclasses.dataclass(frozen=True, slots=True)
class DurationLimit:
    """A duration of the policy, and its limit.

    Attributes
    ----------
    field : str
        Name of the field of ``Policy``.
    found, max_s : float
        Its value and the largest value allowed, seconds.
    """

    field: str
    found: float
    max_s: float


def find_exceeded_limits(policy):
    """Return the durations of a policy that exceed their limits.

    No instance decides to send new work to an endpoint later than
    ``freshness_s`` after its withdrawal was accepted. The limit of
    ``freshness_s`` is the bound on withdrawal less one tick, which is
    allowed for the time from that decision to the sending. Several
    heartbeats and one poll of the platform must fit into
    ``freshness_s``, so that no configuration expires in fault-free
    operation.

    Parameters
    ----------
    policy : sniperudder.tables.Policy

    Returns
    -------
    list of DurationLimit

    Examples
    --------
    >>> from sniperudder.tables import Policy
    >>> policy = Policy(freshness_s=9.0)
    >>> [limit.field for limit in find_exceeded_limits(policy)]
    ['freshness_s']
    """
    limits = [
        DurationLimit('freshness_s', policy.freshness_s, _MAX_FRESHNESS_S),
        DurationLimit(
            'heartbeat_s', policy.heartbeat_s, policy.freshness_s / 3
        ),
        DurationLimit('poll_s', policy.poll_s, policy.freshness_s / 1.5),
    ]
    return [limit for limit in limits if limit.found > limit.max_s]


def is_fresh(T, now):
    """Return whether the configuration was confirmed within ``freshness_s``.

    New work may only be sent if it was.

    Parameters
    ----------
    T : sniperudder.tables.Tables
    now : float
        Seconds on the clock that counts suspension, read immediately
        before the work would be sent.

    Returns
    -------
    bool
    """
    return now - T.confirmed_at <= T.policy.freshness_s


def record_head(T, version, at):
    """Record a version of the head that was read from the platform.

    Parameters
    ----------
    T : sniperudder.tables.Tables
    version : int
        The head's version when it was read.
    at : float
        A time at or before that read, seconds.
    """
    T.known_version = max(T.known_version, version)
    if at > T.head_at:
        T.head_version = version
        T.head_at = at
    confirm_by_platform(T)


def is_rooted(T, now):
    """Return whether this instance's answers may count as evidence.

    After a pause long enough for others to consider it ended, it must
    first read the platform again.
    """
    return T.rooted and now - T.ticked_at <= _get_max_pause(T)


def record_tick(T, now):
    """Record that this instance runs, and reset it after a long pause."""
    if T.started_at is None:
        T.started_at = now
    elif now - T.ticked_at > _get_max_pause(T):
        T.rooted = False
        T.started_at = now
    T.ticked_at = now


def _get_max_pause(T):
    return T.policy.list_lag_s / 2


def confirm_by_platform(T):
    """Advance the confirmation time to the latest read of the head."""
    if T.config.version < T.head_version:
        return
    T.confirmed_at = max(T.confirmed_at, T.head_at)
    if T.started_at is not None and T.head_at >= T.started_at:
        T.rooted = True


def confirm_by_majority(T, now):
    """Advance the confirmation time by evidence of a majority of members.

    An answer to a heartbeat shows that, when the heartbeat was sent, the
    member had acknowledged no version above the one it reports. It
    counts as evidence if that version is at most this instance's.
    Complexity: O(n log n) for n members.
    """
    members = T.config.members
    needed = len(members) // 2 + 1
    times = sorted(_list_evidence_times(T, members, now), reverse=True)
    if members and len(times) >= needed:
        T.confirmed_at = max(T.confirmed_at, times[needed - 1])


def _list_evidence_times(T, members, now):
    version = T.config.version
    for name in members:
        if name == T.me:
            if is_rooted(T, now):
                yield now
            continue
        peer = T.instances.get(name)
        if peer and peer.rooted and peer.config_version <= version:
            yield peer.heard_at


def poll_head(T, now):
    """Read the head of the configuration when a poll is due."""
    if T.poll_pending or now < T.next_poll_at:
        return []
    T.poll_pending = True
    interval_s = T.policy.poll_s * (1 - _POLL_JITTER * T.rng.random())
    T.next_poll_at = now + interval_s
    return [Transact(_purposes.PollHead(), reads=(_rows.HEAD_KEY,))]


def handle_head(T, inp, now):
    """Process the result of ``poll_head``."""
    T.poll_pending = False
    if isinstance(inp.outcome, Committed):
        T.platform_at = max(T.platform_at, inp.sent_at)
        record_head(T, get_head_version(inp.outcome.rows), inp.sent_at)
    return []


def get_head_version(rows):
    """Return the head's version from the rows read, 0 if it is absent."""
    for row in rows:
        if row.key == _rows.HEAD_KEY:
            return row.version
    return 0
