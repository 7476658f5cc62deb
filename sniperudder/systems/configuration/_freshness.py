"""Evidence that the configuration in force is the current one.

docs/CONFIGURATION.md gives the argument that this rests on.
"""

import dataclasses

from sniperudder.effects import Transact
from sniperudder.inputs import Committed
from sniperudder.systems.configuration import _purposes
from sniperudder.systems.configuration import _rows

_POLL_JITTER = 0.2
_LEAVING_BOUND_S = 3.0
_TICK_S = 0.1
_FRESHNESS_MOST_S = _LEAVING_BOUND_S - _TICK_S


@dataclasses.dataclass(frozen=True, slots=True)
class TimeLimit:
    """A time of the policy that breaks the bound for leaving.

    Attributes
    ----------
    field : str
        Name of the field of ``Policy``.
    found, most_s : float
        Its value and the largest that is allowed, seconds.
    """

    field: str
    found: float
    most_s: float


def check_times(policy):
    """Return the times of a policy that break the bound for leaving.

    No instance gives new work to an endpoint later than
    ``freshness_s`` after its withdrawal was accepted; a tick is left for
    the way from that decision to the wire. Several heartbeats and one
    reading of the platform fit into ``freshness_s``, so that nothing
    lapses where all is well.

    Parameters
    ----------
    policy : sniperudder.tables.Policy

    Returns
    -------
    list of TimeLimit

    Examples
    --------
    >>> from sniperudder.tables import Policy
    >>> [limit.field for limit in check_times(Policy(freshness_s=9.0))]
    ['freshness_s']
    """
    limits = [
        TimeLimit('freshness_s', policy.freshness_s, _FRESHNESS_MOST_S),
        TimeLimit('heartbeat_s', policy.heartbeat_s, policy.freshness_s / 3),
        TimeLimit('poll_s', policy.poll_s, policy.freshness_s / 1.5),
    ]
    return [limit for limit in limits if limit.found > limit.most_s]


def is_fresh(T, now):
    """Return whether this instance may give out new work.

    Parameters
    ----------
    T : sniperudder.tables.Tables
    now : float
        Seconds on the clock that counts suspension, read right before
        the work would be given out.

    Returns
    -------
    bool
    """
    return now - T.confirmed_at <= T.policy.freshness_s


def note_head(T, version, at):
    """Take in a reading of the head, made at or after a time.

    Parameters
    ----------
    version : int
        The head's version when it was read.
    at : float
        A time at or before that reading, seconds.
    """
    T.known_version = max(T.known_version, version)
    if at > T.head_at:
        T.head_version = version
        T.head_at = at
    confirm_by_platform(T)


def is_rooted(T, now):
    """Return whether this instance may count as evidence for others.

    After a pause as long as that after which others may take it for
    ended it is like one that has just started.
    """
    return T.rooted and now - T.ticked_at <= _find_longest_pause(T)


def note_tick(T, now):
    """Take in that this instance runs."""
    if T.started_at is None:
        T.started_at = now
    elif now - T.ticked_at > _find_longest_pause(T):
        T.rooted = False
        T.started_at = now
    T.ticked_at = now


def _find_longest_pause(T):
    return T.policy.list_lag_s / 2


def confirm_by_platform(T):
    """Move the confirmation up to the latest reading of the head."""
    if T.config.version < T.head_version:
        return
    T.confirmed_at = max(T.confirmed_at, T.head_at)
    if T.started_at is not None and T.head_at >= T.started_at:
        T.rooted = True


def confirm_by_majority(T, now):
    """Move the confirmation up to what a majority of members showed.

    A member shows at a time that nothing above its version had been
    acknowledged by it. It counts where that version is not above this
    instance's own. Complexity: O(n log n) for n members.
    """
    members = T.config.members
    needed = len(members) // 2 + 1
    times = sorted(_list_evidence(T, members, now), reverse=True)
    if members and len(times) >= needed:
        T.confirmed_at = max(T.confirmed_at, times[needed - 1])


def _list_evidence(T, members, now):
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
    """Read the head when that is due."""
    if T.poll_pending or now < T.next_poll_at:
        return []
    T.poll_pending = True
    pause = T.policy.poll_s * (1 - _POLL_JITTER * T.rng.random())
    T.next_poll_at = now + pause
    return [Transact(_purposes.PollHead(), reads=(_rows.HEAD_KEY,))]


def take_head(T, inp, now):
    """Take in the answer to ``poll_head``."""
    T.poll_pending = False
    if isinstance(inp.outcome, Committed):
        T.platform_at = max(T.platform_at, inp.sent_at)
        note_head(T, find_head(inp.outcome.rows), inp.sent_at)
    return []


def find_head(rows):
    """Return the head's version as rows that were read show it."""
    for row in rows:
        if row.key == _rows.HEAD_KEY:
            return row.version
    return 0
