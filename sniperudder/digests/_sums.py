"""Sums of digests.

In a large fleet, each instance sends its digest to one instance of its data
centre only, which sends the sum back to all members. An instance takes its own
part out of the sum that it receives.
"""

import collections
import dataclasses
import heapq

from sniperudder.digests import _crash_reports
from sniperudder.digests import _records
from sniperudder.digests import _restrictions
from sniperudder.digests import _speeds
from sniperudder import revisions

# Largest number of loads in a sum, so that it fits in a datagram whatever the
# size of the fleet. The largest ones are kept.
_MAX_LOADS = 1_000


def add_digests(header, digests, ages_s):
    """Return the sum of digests.

    Parameters
    ----------
    header : Digest
        Gives the sender, incarnation, sequence, scope and data centre of the
        sum; it is not a part of it.
    digests : list of Digest
    ages_s : list of float
        Time since each digest was received, seconds.

    Returns
    -------
    Digest

    Examples
    --------
    >>> load = _records.Load(2, 100.0)
    >>> first = _records.Digest('entry-1', 5, 1, {'gpu-1': load}, ())
    >>> second = _records.Digest('entry-2', 5, 3, {'gpu-1': load}, ())
    >>> total = add_digests(first, [first, second], [0.0, 0.1])
    >>> total.loads['gpu-1'], total.instances
    (Load(requests=4, token_layers=200.0), 2)
    """
    requests = collections.Counter()
    token_layers = collections.Counter()
    crossings = collections.Counter()
    faults = {}
    table_revisions = {}
    included = []
    for digest, age_s in zip(digests, ages_s):
        for name, load in digest.loads.items():
            requests[name] += load.requests
            token_layers[name] += load.token_layers
        for pair, rate in digest.crossings.items():
            crossings[pair] += rate
        for fault in digest.faults:
            left_s = fault.left_s - age_s
            known = faults.get((fault.endpoint, fault.born_ms))
            if left_s > 0 and (known is None or known.left_s < left_s):
                faults[fault.endpoint, fault.born_ms] = dataclasses.replace(
                    fault, left_s=left_s
                )
        for table, revision in digest.table_revisions.items():
            known = table_revisions.get(table, revision)
            table_revisions[table] = max(revision, known)
        if digest.data_centre == header.data_centre:
            if digest.scope is _records.Scope.INSTANCE:
                included.append(
                    (digest.sender, digest.incarnation, digest.sequence)
                )
            else:
                included.extend(digest.included)
    busiest = heapq.nlargest(
        _MAX_LOADS, requests, key=lambda name: token_layers[name]
    )
    return dataclasses.replace(
        header,
        loads={
            name: _records.Load(requests[name], token_layers[name])
            for name in busiest
        },
        faults=tuple(faults.values()),
        lease=max((d.lease for d in digests), default=revisions.UNKNOWN),
        events=sum(digest.events for digest in digests),
        slow_events=sum(digest.slow_events for digest in digests),
        crossings=dict(crossings),
        instances=sum(digest.instances for digest in digests),
        included=tuple(included),
        table_revisions=table_revisions,
        crash_report=_crash_reports.merge_crash_reports(
            [digest.crash_report for digest in digests], ages_s
        ),
        restrictions=_restrictions.merge_restrictions(
            [digest.restrictions for digest in digests], ages_s
        ),
        demands={},
        configuration_version=max(
            (d.configuration_version for d in digests), default=0
        ),
        speeds=_speeds.merge_speeds(
            [digest.speeds for digest in digests], ages_s
        ),
    )


def subtract_digest(total, part):
    """Return a sum without the loads and rates of one of its parts.

    Parameters
    ----------
    total, part : Digest

    Returns
    -------
    Digest
    """
    loads = dict(total.loads)
    for name, load in part.loads.items():
        known = loads.get(name)
        if known is None:
            continue
        if known.requests <= load.requests:
            del loads[name]
            continue
        loads[name] = _records.Load(
            known.requests - load.requests,
            max(known.token_layers - load.token_layers, 0.0),
        )
    crossings = {
        pair: max(rate - part.crossings.get(pair, 0.0), 0.0)
        for pair, rate in total.crossings.items()
    }
    return dataclasses.replace(
        total,
        loads=loads,
        events=max(total.events - part.events, 0),
        slow_events=max(total.slow_events - part.slow_events, 0),
        crossings=crossings,
        instances=max(total.instances - part.instances, 0),
    )
