"""What endpoints say of themselves in their responses."""

import collections
import dataclasses

# Time for which a lifted rate limit is remembered, seconds, so that instances
# that have not heard of its end do not restore it.
_LIFTED_S = 15.0

# Age by which a statement of a known limit is newer, seconds, so that its
# delays between instances do not add up.
_MIN_NEWER_S = 0.5

# Time for which the restrictions of a run that is not listed are kept and told
# to others, seconds. The entry of a live endpoint may be missing for some time
# while the store fails.
_ENDED_S = 60.0

# Number of runs of endpoints that are remembered; those of which nothing was
# heard for the longest time are dropped first.
_MAX_RUNS = 20_000


@dataclasses.dataclass(frozen=True, slots=True)
class Notice:
    """What one response of an endpoint says of the endpoint.

    Attributes
    ----------
    leaving : bool
        Whether the endpoint leaves, and is to get no new requests.
    rate_limit : float or None
        Requests per second that it accepts from all instances together; None
        if it states none.
    pause_s : float
        Time for which it accepts no requests from this instance, seconds.
    malformed : tuple of str
        Headers that could not be used as they are.
    """

    leaving: bool = False
    rate_limit: float | None = None
    pause_s: float = 0.0
    malformed: tuple = ()


@dataclasses.dataclass(slots=True)
class Restrictions:
    """What a run of an endpoint has asked of its callers.

    Attributes
    ----------
    leaving : bool
    paused_until : float
        Seconds, on the clock of `sniperudder.clocks.read_clock`.
    rate_limit : float or None
    stated_at : float
        Time of the newest response that is known, seconds.
    """

    leaving: bool = False
    paused_until: float = 0.0
    rate_limit: float | None = None
    stated_at: float = 0.0


_UNRESTRICTED = Restrictions()


class NoticeTable:
    """Restrictions by run of an endpoint, from its own and peers' notices.

    Times are those of `sniperudder.clocks.read_clock`, which counts the time
    for which the machine was suspended.
    """

    __slots__ = ('_runs',)

    def __init__(self):
        self._runs = collections.OrderedDict()

    def get(self, run_id):
        """Return the restrictions of a run.

        Parameters
        ----------
        run_id : (str, int)
            See `Endpoint`.

        Returns
        -------
        Restrictions
        """
        return self._runs.get(run_id, _UNRESTRICTED)

    def record(self, run_id, notice, now):
        """Record what a response says.

        Parameters
        ----------
        run_id : (str, int)
        notice : Notice
        now : float
            Seconds.

        Returns
        -------
        bool
            Whether this changed more than the time of a known restriction.
        """
        if run_id not in self._runs and notice == Notice():
            return False
        changed = False
        if notice.pause_s:
            known = self._touch(run_id)
            until = now + notice.pause_s
            changed = until > known.paused_until
            known.paused_until = max(known.paused_until, until)
            known.stated_at = max(known.stated_at, now)
        limit_malformed = notice.rate_limit is None and notice.malformed
        if not limit_malformed:
            changed |= self.apply_limit(run_id, notice.rate_limit, now)
        if notice.leaving:
            changed |= self.apply_leaving(run_id, now)
        return changed

    def apply_leaving(self, run_id, stated_at):
        """Record that a run leaves, for as long as it lasts.

        Parameters
        ----------
        run_id : (str, int)
        stated_at : float
            Seconds.

        Returns
        -------
        bool
            Whether that was unknown.
        """
        if self.get(run_id).leaving:
            return False
        known = self._touch(run_id)
        known.leaving = True
        known.stated_at = max(known.stated_at, stated_at)
        return True

    def apply_limit(self, run_id, rate_limit, stated_at):
        """Record the limit of a run unless a newer statement is known.

        Parameters
        ----------
        run_id : (str, int)
        rate_limit : float or None
        stated_at : float
            Seconds.

        Returns
        -------
        bool
            Whether the limit changed.
        """
        known = self.get(run_id)
        if rate_limit is None and known.rate_limit is None:
            return False
        changed = known.rate_limit != rate_limit
        newer_by_s = stated_at - known.stated_at
        if newer_by_s < (0.0 if changed else _MIN_NEWER_S):
            return False
        known = self._touch(run_id)
        known.rate_limit = rate_limit
        known.stated_at = stated_at
        return changed

    def drop_ended(self, listed, now):
        """Drop the runs that have not been listed or heard of for long.

        Parameters
        ----------
        listed : set of (str, int)
            Runs that the platform lists.
        now : float
            Seconds.
        """
        for run_id in self._runs.keys() - listed:
            known = self._runs[run_id]
            if max(known.stated_at, known.paused_until) < now - _ENDED_S:
                del self._runs[run_id]

    def list_limits(self):
        """Return the limits in force.

        Returns
        -------
        dict of (str, int) to float
            Requests per second by run.
        """
        return {
            run_id: known.rate_limit
            for run_id, known in self._runs.items()
            if known.rate_limit is not None
        }

    def count_restricted(self, now):
        """Return the numbers of restricted runs, by kind of restriction.

        Returns
        -------
        dict of str to int
        """
        runs = self._runs.values()
        return {
            'endpoints_leaving': sum(known.leaving for known in runs),
            'endpoints_paused': sum(k.paused_until > now for k in runs),
            'endpoints_limited': len(self.list_limits()),
        }

    def list_statements(self, now, count):
        """Return the restrictions that apply to all instances, newest first.

        Parameters
        ----------
        now : float
            Seconds.
        count : int
            Largest number of runs to return.

        Returns
        -------
        list of ((str, int), Restrictions)
        """
        statements = []
        for run_id in reversed(self._runs):
            known = self._runs[run_id]
            lifted_lately = known.stated_at > now - _LIFTED_S
            if known.leaving or known.rate_limit is not None or lifted_lately:
                statements.append((run_id, known))
                if len(statements) == count:
                    break
        return statements

    def _touch(self, run_id):
        known = self._runs.get(run_id)
        if known is None:
            known = self._runs[run_id] = Restrictions()
            if len(self._runs) > _MAX_RUNS:
                self._runs.popitem(last=False)
        else:
            self._runs.move_to_end(run_id)
        return known
