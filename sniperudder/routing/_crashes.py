"""Detection of requests that crash the endpoints which run them.

Two things may crash one endpoint after another: a request that a caller
repeats, and a part of a prompt, whatever else the request holds. Both are
identified by a key, and a request has one key for itself and one for each part
that it shares with others. The last part belongs to the request alone.

When an endpoint crashes, the keys of the requests that it had just begun are
suspects. A request that runs on for a while clears its keys, since the cause
crashes every endpoint. `condemn` decides between the suspects that remain.

All instances exchange the crashes that they know, including those that they
were told, so that none is lost with the instance that observed it.
"""

import collections
import dataclasses
import hashlib
import heapq

from sniperudder import digests
from sniperudder.routing import _suspects

# Time from the first event after which a request did not crash its endpoint,
# seconds; the endpoint crashes as it begins to write.
SURVIVAL_S = 0.5

# Longest time between the interruption of a request and the end of the
# endpoint's entry in the platform's list, seconds: three heartbeats of
# 1.2 s and their delay.
_MAX_CRASH_DELAY_S = 6.0

# Time for which a verdict must hold before it is kept and sent to others,
# seconds: what other instances have seen is known by then, even if some of
# their digests are lost.
_CONFIRMATION_S = 1.5

# Time after the last crash for which requests stay blocked, seconds, and for
# which crashes are remembered.
_BLOCK_S = 600.0

# Age up to which a crash is sent to other instances, seconds; many digests are
# sent in this time, so that a loss of some does no harm.
_SHARE_S = 4.0

# Largest numbers of crashes and suspects that are stored, of cleared keys, and
# of what is sent to other instances; a digest must fit in a datagram.
_MAX_CRASHES = 200
_MAX_SUSPECTS = 10_000
_MAX_SURVIVORS = 10_000
_MAX_SENT_BLOCKS = 20

_KEY_BYTES = 8
_MAX_PART_LENGTH = 32
_REQUEST_PREFIX = 'request:'
_PART_PREFIX = 'part:'


def make_crash_keys(organisation, target, body, parts=()):
    """Return the keys by which crashes are counted against a request.

    Parameters
    ----------
    organisation : str
    target, body : bytes
    parts : iterable of str
        Ids of the parts of its prompt that other requests may share.

    Returns
    -------
    frozenset of str

    Examples
    --------
    >>> sorted(make_crash_keys('studio', b'/a', b'x', ['5c1e07a2']))
    ['part:5c1e07a2', 'request:ff43e595c898ba06']
    """
    keys = [_REQUEST_PREFIX + _hash(organisation.encode(), target, body)]
    for part in parts:
        if len(part) > _MAX_PART_LENGTH:
            part = _hash(part.encode())
        keys.append(_PART_PREFIX + part)
    return frozenset(keys)


def _hash(*parts):
    digest = hashlib.blake2b(digest_size=_KEY_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return digest.hexdigest()


@dataclasses.dataclass(frozen=True, eq=False, slots=True)
class _Interruption:
    """A request that was interrupted as it began.

    Attributes
    ----------
    keys : tuple of str
    run_ids : tuple of (str, int)
        Endpoints of its chain.
    at : float
        Loop time, seconds.
    """

    keys: tuple
    run_ids: tuple
    at: float


@dataclasses.dataclass(slots=True)
class _Block:
    """Keys of blocked requests.

    Attributes
    ----------
    crashed_at : float
        Loop time of the last crash that is counted against them, seconds.
    run_ids : set of (str, int)
        Runs whose crashes led to the block; empty if others told of it.
    """

    crashed_at: float
    run_ids: set = dataclasses.field(default_factory=set)


class CrashTable:
    """Crashes of endpoints, the requests suspected, and those blocked."""

    __slots__ = (
        '_alive',
        '_blocks',
        '_cleared',
        '_condemned',
        '_condemned_since',
        '_crashes',
        '_interrupted',
        '_survivals',
        '_suspected',
    )

    def __init__(self):
        # Recent interruptions by run id.
        self._interrupted = {}
        # Crashes by run id, in the order in which they became known.
        self._crashes = {}
        # Runs that were taken for crashed: the time at which each was known
        # to run on.
        self._alive = collections.OrderedDict()
        # Time of the last sound run and number of runs, by key of a part. For
        # suspects, what others should know: the time of the last sound run,
        # and the time of that or of the crash, if it came later.
        self._survivals = collections.OrderedDict()
        self._cleared = collections.OrderedDict()
        # Sets of keys: a request that has all keys of a set is rejected.
        self._condemned = None
        self._condemned_since = {}
        self._blocks = {}
        # All keys of crashes and blocks; None until it is needed.
        self._suspected = None

    def record_interruption(self, keys, run_ids, now):
        """Record that a request was interrupted as endpoints began to run it.

        If several of them crashed, only the crash that becomes known first
        counts against the request: it was sent once.

        Parameters
        ----------
        keys : iterable of str
        run_ids : sequence of (str, int)
            Run ids of the endpoints of its chain; see
            `sniperudder.fleet.Endpoint`.
        now : float
            Loop time, seconds.
        """
        interruption = _Interruption(tuple(keys), tuple(run_ids), now)
        for run_id in run_ids:
            crash = self._crashes.get(run_id)
            if crash is not None and now - crash.at <= _MAX_CRASH_DELAY_S:
                self._record_victims(run_id, [interruption])
                return
        for run_id in run_ids:
            self._interrupted.setdefault(run_id, []).append(interruption)

    def record_run_end(self, run_id, now):
        """Record that a run of an endpoint ended.

        Returns
        -------
        dict of str to float
            Time since the interruption of each suspect, by key, seconds; empty
            if the endpoint had just begun no request.
        """
        interruptions = [
            interruption
            for interruption in self._interrupted.pop(run_id, ())
            if now - interruption.at <= _MAX_CRASH_DELAY_S
        ]
        since_s = {}
        for interruption in interruptions:
            for key in interruption.keys:
                since_s[key] = now - interruption.at
            for other in interruption.run_ids:
                if other in self._interrupted:
                    self._interrupted[other].remove(interruption)
        if interruptions:
            self._record_victims(run_id, interruptions)
        return since_s

    def record_run_alive(self, run_id, now):
        """Withdraw the crash of a run that turned out to run on.

        Parameters
        ----------
        run_id : (str, int)
        now : float
            Loop time, seconds.

        Returns
        -------
        list of frozenset
            Keys of the requests that are no longer blocked.
        """
        self._alive.pop(run_id, None)
        self._alive[run_id] = now
        while len(self._alive) > _MAX_CRASHES:
            self._alive.popitem(last=False)
        if self._crashes.pop(run_id, None) is None:
            return []
        self._invalidate()
        unfounded = []
        for keys, block in self._blocks.items():
            if run_id in block.run_ids:
                block.run_ids.remove(run_id)
                if len(block.run_ids) < _suspects.MIN_CRASHES:
                    unfounded.append(keys)
        lifted = []
        for key in frozenset().union(*unfounded):
            if key in self._survivals:
                _, count = self._survivals[key]
                self._survivals[key] = now, count
            lifted += self._clear(key, now)
        return lifted

    def record_survival(self, keys, now):
        """Record that an endpoint runs on although it began a request.

        Returns
        -------
        list of frozenset
            Keys of the requests that are no longer blocked.
        """
        lifted = []
        for key in keys:
            _, count = self._survivals.pop(key, (now, 0))
            if key.startswith(_PART_PREFIX):
                self._survivals[key] = now, count + 1
            lifted += self._clear(key, now)
        while len(self._survivals) > _MAX_SURVIVORS:
            self._survivals.popitem(last=False)
        return lifted

    def find_block(self, keys):
        """Return the keys for which a request is rejected, or None.

        Parameters
        ----------
        keys : frozenset of str

        Returns
        -------
        frozenset of str or None
        """
        for blocked in (*self._blocks, *self._list_condemned()):
            if blocked <= keys:
                return blocked
        return None

    def get_retry_after_s(self, blocked, now):
        """Return the time until a block ends, seconds."""
        block = self._blocks.get(blocked)
        since_s = 0.0 if block is None else now - block.crashed_at
        return max(0.0, _BLOCK_S - since_s)

    def update(self, now):
        """Keep the verdicts that hold, and drop what has expired.

        Parameters
        ----------
        now : float
            Loop time, seconds.

        Returns
        -------
        added, ended : list of frozenset
            Keys of the requests that are blocked from now on, and no longer.
        """
        self._drop_expired(now)
        condemned = self._list_condemned()
        self._condemned_since = {
            keys: self._condemned_since.get(keys, now) for keys in condemned
        }
        added = []
        for keys, since in self._condemned_since.items():
            if now - since >= _CONFIRMATION_S:
                if keys not in self._blocks:
                    added.append(keys)
                    self._invalidate()
                self._blocks[keys] = _Block(
                    self._get_last_crash(keys),
                    {
                        run_id
                        for run_id, crash in self._crashes.items()
                        if keys <= crash.victims.keys()
                    },
                )
        ended = [
            keys
            for keys, block in self._blocks.items()
            if now - block.crashed_at > _BLOCK_S
        ]
        for keys in ended:
            del self._blocks[keys]
            self._invalidate()
        return added, ended

    def list_blocks(self):
        """Return the sets of keys of blocked requests."""
        return list(self._blocks)

    def add_block(self, keys, now):
        """Block requests for as long as after a crash.

        Returns
        -------
        bool
            Whether they were not blocked before.
        """
        if keys in self._blocks:
            return False
        self._blocks[keys] = _Block(now)
        self._invalidate()
        return True

    def lift_blocks(self, now):
        """Lift all blocks, as if the requests had run without a crash.

        Returns
        -------
        list of frozenset
            Keys of the requests that are no longer blocked.
        """
        lifted = []
        for keys in list(self._blocks):
            for key in keys:
                lifted += self._clear(key, now)
        return lifted

    def list_crashes(self, keys):
        """Return the run ids of the crashes that are counted against keys."""
        return [
            run_id
            for run_id, crash in self._crashes.items()
            if not keys.isdisjoint(crash.victims)
        ]

    def count_suspects(self):
        """Return the number of keys that crashes are counted against."""
        return len(self._list_suspects())

    def make_report(self, now):
        """Return what other instances should know.

        Parameters
        ----------
        now : float
            Loop time, seconds.

        Returns
        -------
        sniperudder.digests.CrashReport
        """
        crashes = {
            run_id: digests.Crash(now - crash.at, dict(crash.victims))
            for run_id, crash in self._crashes.items()
            if crash.victims and now - crash.at <= _SHARE_S
        }
        cleared = {
            key: now - survived_at
            for key, (survived_at, noted_at) in self._cleared.items()
            if now - noted_at <= _SHARE_S
        }
        recent = heapq.nlargest(
            _MAX_SENT_BLOCKS,
            self._blocks.items(),
            key=lambda item: item[1].crashed_at,
        )
        blocks = {keys: now - block.crashed_at for keys, block in recent}
        return digests.limit_crash_report(
            digests.CrashReport(crashes, cleared, blocks)
        )

    def apply_report(self, report, now):
        """Add what another instance knows.

        Parameters
        ----------
        report : sniperudder.digests.CrashReport
        now : float
            Loop time, seconds.

        Returns
        -------
        added, lifted : list of frozenset
            Keys of the requests that are blocked from now on, and no longer.
        """
        for run_id, crash in report.crashes.items():
            self._add_crash(run_id, now - crash.age_s, crash.suspects)
        lifted = []
        for key, age_s in report.cleared.items():
            lifted += self._apply_survival(key, now - age_s)
        added = []
        for keys, age_s in report.blocks.items():
            crashed_at = now - age_s
            if age_s > _BLOCK_S or any(
                (self._get_survival(key) or crashed_at) > crashed_at
                for key in keys
            ):
                continue
            known = self._blocks.get(keys)
            if known is None:
                added.append(keys)
                self._invalidate()
                self._blocks[keys] = _Block(crashed_at)
            else:
                known.crashed_at = max(known.crashed_at, crashed_at)
        return added, lifted

    def _record_victims(self, run_id, interruptions):
        victims = collections.Counter()
        for interruption in interruptions:
            victims.update(interruption.keys)
        known = self._crashes.get(run_id)
        if known is not None:
            victims.update(known.victims)
        at = min(interruption.at for interruption in interruptions)
        self._add_crash(run_id, at, victims)

    def _add_crash(self, run_id, at, victims):
        if run_id in self._alive and at <= self._alive[run_id]:
            return
        kept = {}
        for key, count in victims.items():
            survived_at = self._get_survival(key)
            if survived_at is not None:
                # Others may not know it yet.
                self._cleared[key] = survived_at, max(survived_at, at)
            if survived_at is None or survived_at <= at:
                kept[key] = count
        crash = self._crashes.get(run_id)
        if crash is None:
            crash = self._crashes[run_id] = _suspects.Crash(at, {})
        for key, count in kept.items():
            if crash.victims.get(key, 0) < count:
                crash.victims[key] = count
                self._invalidate()
        self._limit_size()

    def _clear(self, key, at):
        """Drop a key from the crashes before a time; return lifted blocks."""
        if key not in self._list_suspects():
            return []
        suspected = False
        for crash in self._crashes.values():
            if key in crash.victims and crash.at < at:
                del crash.victims[key]
                suspected = True
        lifted = [
            keys
            for keys, block in self._blocks.items()
            if key in keys and block.crashed_at < at
        ]
        for keys in lifted:
            del self._blocks[keys]
        if suspected or lifted:
            self._invalidate()
            survived_at, noted_at = self._cleared.pop(key, (at, at))
            self._cleared[key] = max(at, survived_at), max(at, noted_at)
        while len(self._cleared) > _MAX_SURVIVORS:
            self._cleared.popitem(last=False)
        return lifted

    def _apply_survival(self, key, at):
        """Record a sound run at another instance; return lifted blocks."""
        known_at, count = self._survivals.get(key, (at, 1))
        if key.startswith(_PART_PREFIX):
            self._survivals[key] = max(at, known_at), count
            if key in self._list_suspects():
                self._condemned = None
        return self._clear(key, at)

    def _get_survival(self, key):
        """Return the time of the last sound run of a key, or None."""
        if key in self._survivals:
            survived_at, _ = self._survivals[key]
            return survived_at
        survived_at, _ = self._cleared.get(key, (None, None))
        return survived_at

    def _count_survivals(self, key):
        _, count = self._survivals.get(key, (None, 0))
        return count

    def _list_suspects(self):
        """Return all keys that crashes are counted against, or blocked."""
        if self._suspected is None:
            self._suspected = {
                key
                for keys in (
                    *(crash.victims for crash in self._crashes.values()),
                    *self._blocks,
                )
                for key in keys
            }
        return self._suspected

    def _get_last_crash(self, keys):
        return max(
            crash.at
            for crash in self._crashes.values()
            if not keys.isdisjoint(crash.victims)
        )

    def _list_condemned(self):
        if self._condemned is None:
            self._condemned = _suspects.condemn(
                self._crashes.values(),
                self._count_survivals,
                lambda key: key.startswith(_REQUEST_PREFIX),
                self._blocks,
            )
        return self._condemned

    def _invalidate(self):
        self._condemned = self._suspected = None

    def _limit_size(self):
        while len(self._crashes) > _MAX_CRASHES:
            oldest = min(self._crashes, key=lambda r: self._crashes[r].at)
            del self._crashes[oldest]
            self._invalidate()
        total = sum(len(crash.victims) for crash in self._crashes.values())
        if total > _MAX_SUSPECTS:
            _suspects.drop_weakest(
                self._crashes.values(), total - _MAX_SUSPECTS
            )
            self._invalidate()

    def _drop_expired(self, now):
        for run_id, interruptions in list(self._interrupted.items()):
            kept = [
                interruption
                for interruption in interruptions
                if now - interruption.at <= _MAX_CRASH_DELAY_S
            ]
            if kept:
                self._interrupted[run_id] = kept
            else:
                del self._interrupted[run_id]
        for run_id, alive_at in list(self._alive.items()):
            if now - alive_at > _BLOCK_S:
                del self._alive[run_id]
        for run_id, crash in list(self._crashes.items()):
            expired = now - crash.at > _BLOCK_S
            # An empty one is kept while digests may still name it.
            if expired or (not crash.victims and now - crash.at > _SHARE_S):
                del self._crashes[run_id]
                self._invalidate()
