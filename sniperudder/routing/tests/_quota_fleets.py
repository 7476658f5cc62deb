"""A simulated fleet whose instances share the rate limits of endpoints."""

import heapq
import itertools
import random

from sniperudder import digests
from sniperudder import fleet
from sniperudder import routing

_DIGEST_S = 0.25
_DELAY_S = 0.005
_RESPONSE_S = 0.05
# Largest number of instances that hear the digests of each other; with more,
# they hear sums, which hold no demands and hide who is silent.
_MAX_DIRECT = 26
_LIST_READ_S = 1.0


class SimulatedInstance:
    """The tables of one instance."""

    def __init__(self, name, peers, rng):
        self.name = name
        self.paused = False
        self.demand_per_s = 1.0
        self.peers = peers
        self.incarnation = 0
        self._rng = rng
        self.start(0.0, {})

    def start(self, now, endpoints):
        """Start with empty tables."""
        self.incarnation += 1
        self.sequence = 0
        self.T = fleet.FleetTables(endpoints=endpoints)

    def read_list(self, T, now):
        """Read the list of instances, unless it has restarted since."""
        if self.T is T:
            T.instances_known = True
            for peer in self.peers:
                T.peers.add_peer(peer, (peer, 1), now)

    def update(self, now, direct):
        """Update the quotas; return the digest to send."""
        demands = {'desk': self.demand_per_s}
        routing.update_quotas(
            self.T,
            self.name,
            self.T.peers.list_sharing_peers(now),
            demands if direct else None,
            now,
            self._rng,
        )
        self.sequence += 1
        return digests.Digest(
            self.name,
            self.incarnation,
            self.sequence,
            {},
            (),
            restrictions={
                run_id: digests.Restriction(
                    known.leaving, known.rate_limit, now - known.stated_at
                )
                for run_id, known in self.T.notices.list_statements(now, 200)
            },
            demands=demands,
        )

    def apply(self, digest, now, direct):
        """Apply a digest of another instance."""
        if direct:
            self.T.peers.record_digest(digest, (digest.sender, 1), now)
        for run_id, told in digest.restrictions.items():
            self.T.notices.apply_limit(
                run_id, told.rate_limit, now - told.age_s
            )


class QuotaFleet:
    """Instances, endpoints with rate limits, and requests in virtual time.

    Parameters
    ----------
    seed : int
    count : int
        Number of instances.
    limits : list of float
        Requests per second that each endpoint accepts.
    per_s : float
        Requests per second at all instances together.

    Attributes
    ----------
    sent : list of list of float
        Times of the requests that each endpoint received, seconds.
    split : bool
        Whether the two halves of the instances do not hear each other.
    """

    def __init__(self, seed, count, limits, per_s):
        self.rng = random.Random(seed)
        self.limits = list(limits)
        self.sent = [[] for _ in limits]
        self.rejected = 0
        self.split = False
        self.now = 0.0
        self._per_s = per_s
        self._direct = count <= _MAX_DIRECT
        self._order = itertools.count()
        self._queue = []
        self._endpoints = [
            fleet.Endpoint(
                f'e-{n}', 'desk', f'h:{n}', 'north', 8, False, '', None, 1
            )
            for n in range(len(limits))
        ]
        names = [f'entry-{number}' for number in range(count)]
        self.instances = [
            SimulatedInstance(name, [n for n in names if n != name], self.rng)
            for name in names
        ]
        self._weights = [self.rng.uniform(0.2, 2.0) for _ in names]
        total = sum(self._weights)
        for index, instance in enumerate(self.instances):
            instance.demand_per_s = per_s * self._weights[index] / total
            self._start(index)
            offset = self.rng.uniform(0.0, _DIGEST_S)
            self.call_at(offset, self._update, index)
        self.call_at(_LIST_READ_S + 1.0, self._arrive)

    def call_at(self, at, function, *args):
        """Call a function at a time, seconds."""
        heapq.heappush(self._queue, (at, next(self._order), function, args))

    def run(self, until):
        """Run until a time, seconds."""
        while self._queue and self._queue[0][0] <= until:
            self.now, _, function, args = heapq.heappop(self._queue)
            function(*args)
        self.now = until

    def pause(self, index, duration_s):
        """Suspend an instance; it gets requests as soon as it resumes."""
        self.instances[index].paused = True

        def resume():
            self.instances[index].paused = False
            for _ in range(5):
                self._request(index)

        self.call_at(self.now + duration_s, resume)

    def restart(self, index):
        """Restart an instance with empty tables."""
        self._start(index)

    def _start(self, index):
        instance = self.instances[index]
        instance.start(self.now, {e.id: e for e in self._endpoints})
        T = instance.T
        self.call_at(
            self.now + _LIST_READ_S,
            lambda: instance.read_list(T, self.now),
        )

    def _update(self, index):
        instance = self.instances[index]
        self.call_at(self.now + _DIGEST_S, self._update, index)
        if instance.paused:
            return
        digest = instance.update(self.now, self._direct)
        targets = range(len(self.instances))
        if not self._direct:
            # Sums reach all instances within a few rounds.
            targets = self.rng.sample(targets, 20)
        for target in targets:
            if target == index or self._is_cut(index, target):
                continue
            if self.rng.random() < 0.02:
                continue
            self.call_at(self.now + _DELAY_S, self._deliver, target, digest)

    def _is_cut(self, index, target):
        half = len(self.instances) // 2
        return self.split and (index < half) != (target < half)

    def _deliver(self, target, digest):
        if not self.instances[target].paused:
            self.instances[target].apply(digest, self.now, self._direct)

    def _arrive(self):
        gap_s = self.rng.expovariate(self._per_s)
        self.call_at(self.now + gap_s, self._arrive)
        indexes = range(len(self.instances))
        (index,) = self.rng.choices(indexes, self._weights)
        if not self.instances[index].paused:
            self._request(index)

    def _request(self, index):
        T = self.instances[index].T
        usable = [
            number
            for number, endpoint in enumerate(self._endpoints)
            if routing.may_send(T, endpoint, self.now)
        ]
        if not usable:
            self.rejected += 1
            return
        number = self.rng.choice(usable)
        endpoint = self._endpoints[number]
        assert routing.spend_quota(T, endpoint, self.now)
        self.sent[number].append(self.now)
        self.call_at(self.now + _RESPONSE_S, self._respond, index, T, number)

    def _respond(self, index, T, number):
        endpoint = self._endpoints[number]
        notice = fleet.Notice(rate_limit=self.limits[number])
        T.notices.record((endpoint.id, endpoint.born_ms), notice, self.now)
