"""What instances tell each other about crashes of endpoints."""

import dataclasses
import heapq

# Largest numbers of crashes, of suspects of each crash, of cleared keys and of
# blocks in a report, so that it fits in a datagram beside the loads.
_MAX_CRASHES = 20
_MAX_SUSPECTS = 32
_MAX_CLEARED = 100
_MAX_BLOCKS = 20


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """A run of an endpoint that crashed.

    Attributes
    ----------
    age_s : float
        Time since the crash, seconds.
    suspects : dict of str to int
        Number of requests that the endpoint had just begun, by key; see
        `sniperudder.routing.make_crash_keys`.
    """

    age_s: float
    suspects: dict


@dataclasses.dataclass(frozen=True, slots=True)
class CrashReport:
    """Recent crashes, and what follows from them.

    Attributes
    ----------
    crashes : dict of (str, int) to Crash
        By run id; see `sniperudder.fleet.Endpoint`.
    cleared : dict of str to float
        Time since a request with the key last ran without a crash, for
        suspects, seconds.
    blocks : dict of frozenset to float
        Time since the last crash, seconds, by the set of keys of the requests
        that are blocked.
    """

    crashes: dict = dataclasses.field(default_factory=dict)
    cleared: dict = dataclasses.field(default_factory=dict)
    blocks: dict = dataclasses.field(default_factory=dict)


def limit_crash_report(report):
    """Return a report of limited size.

    Of each crash, the suspects are kept that shared most of the crashes, with
    the fewest requests; of all else, the most recent.

    Parameters
    ----------
    report : CrashReport

    Returns
    -------
    CrashReport

    Examples
    --------
    >>> suspects = {f'part:{number}': 2 for number in range(40)}
    >>> crash = Crash(1.0, {'part:bad': 1, **suspects})
    >>> report = limit_crash_report(CrashReport({('gpu-1', 5): crash}))
    >>> kept = report.crashes['gpu-1', 5].suspects
    >>> len(kept), 'part:bad' in kept
    (32, True)
    """
    counts = {}
    for crash in report.crashes.values():
        for key, requests in crash.suspects.items():
            shared, total = counts.get(key, (0, 0))
            counts[key] = shared - 1, total + requests
    crashes = {
        run_id: Crash(
            crash.age_s,
            {
                key: crash.suspects[key]
                for key in heapq.nsmallest(
                    _MAX_SUSPECTS, crash.suspects, key=counts.get
                )
            },
        )
        for run_id, crash in _keep_smallest(
            _MAX_CRASHES, report.crashes, lambda crash: crash.age_s
        ).items()
    }
    return CrashReport(
        crashes,
        _keep_smallest(_MAX_CLEARED, report.cleared),
        _keep_smallest(_MAX_BLOCKS, report.blocks),
    )


def merge_crash_reports(reports, ages_s):
    """Return what several reports tell together, limited in size.

    Parameters
    ----------
    reports : iterable of CrashReport
    ages_s : iterable of float
        Time since each report was received, seconds.

    Returns
    -------
    CrashReport

    Examples
    --------
    Of a crash that several instances saw, the largest number counts, since
    they may have heard of it from each other.

    >>> first = CrashReport({('gpu-1', 5): Crash(1.0, {'part:a': 1})})
    >>> second = CrashReport({('gpu-1', 5): Crash(1.5, {'part:a': 2})})
    >>> merge_crash_reports([first, second], [0.5, 0.0]).crashes
    {('gpu-1', 5): Crash(age_s=1.5, suspects={'part:a': 2})}
    """
    crashes, cleared, blocks = {}, {}, {}
    for report, age_s in zip(reports, ages_s):
        for run_id, crash in report.crashes.items():
            known = crashes.get(run_id)
            suspects = dict(known.suspects) if known else {}
            for key, requests in crash.suspects.items():
                suspects[key] = max(requests, suspects.get(key, 0))
            since_s = crash.age_s + age_s
            if known is not None:
                since_s = max(since_s, known.age_s)
            crashes[run_id] = Crash(since_s, suspects)
        _merge_ages(cleared, report.cleared, age_s)
        _merge_ages(blocks, report.blocks, age_s)
    return limit_crash_report(CrashReport(crashes, cleared, blocks))


def _merge_ages(merged, added, age_s):
    for key, since_s in added.items():
        since_s += age_s
        merged[key] = min(since_s, merged.get(key, since_s))


def _keep_smallest(count, values, read=float):
    if len(values) <= count:
        return dict(values)
    kept = heapq.nsmallest(
        count, values.items(), key=lambda item: read(item[1])
    )
    return dict(kept)
