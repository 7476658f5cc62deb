"""Loads of the policy's measurement, named by what floods."""

import dataclasses

from measurements import _fleets
from measurements import _loads
from sniperudder import tables

SIZE = _fleets.Size()
MAX_TOKENS = 30
# Part of the fleet's bound that each rank asks for without a flood.
_CALM_SHARE = 0.2
# A small organisation asks for half of its equal share of one rank.
_SMALL_SHARE = 0.5
PROBES_PER_S = 8.0
LARGE = 'org-0'
_LEAST = tables.Rank.LEAST
_URGENT = tables.Rank.URGENT


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """One run.

    Attributes
    ----------
    name : str
    loads : tuple of Load
    end_s : float
        Length of the run, seconds; the second half counts.
    placement : str
    lag_s : float
        Age of load reports, seconds.
    kill_s : float or None
        When the home dies, seconds.
    """

    name: str
    loads: tuple
    end_s: float
    placement: str = 'home'
    lag_s: float = 1.0
    kill_s: float | None = None


def list_floods(end_s, factors=(2, 5, 20)):
    """Return the cases of floods by rank, the calm one first.

    Parameters
    ----------
    end_s : float
        Seconds.
    factors : tuple of float
        Offered work as a multiple of the fleet's bound.
    """
    cases = [Case('calm', create_loads({}, end_s), end_s)]
    floods = {'least': (_LEAST,), 'urgent': (_URGENT,)}
    floods['both'] = (_URGENT, _LEAST)
    for name, ranks in floods.items():
        for factor in factors:
            shares = dict.fromkeys(ranks, factor)
            loads = create_loads(shares, end_s)
            cases.append(Case(f'{name} x{factor}', loads, end_s))
    return cases


def create_loads(shares, end_s):
    """Return loads of all ranks by equal organisations.

    Parameters
    ----------
    shares : dict of Rank to float
        Offered work of ranks that flood, as a multiple of the bound.
    end_s : float
        Seconds.
    """
    return tuple(
        _create_load(rank, number, shares.get(rank, _CALM_SHARE), end_s)
        for rank in tables.RANKS
        for number in range(SIZE.organisations)
    )


def _create_load(rank, number, share, end_s):
    per_s = _fleets.compute_bound(SIZE) / MAX_TOKENS
    rate = share * per_s / SIZE.organisations
    return _loads.Load(
        rank, f'org-{number}', rate, max_tokens=MAX_TOKENS, end_s=end_s
    )


def create_death(end_s, kill_s):
    """Return the case of a home that dies in a calm load.

    Many short urgent requests show when service is back.
    """
    probe = _loads.Load(
        _URGENT, 'org-1', PROBES_PER_S, max_tokens=2, end_s=end_s
    )
    loads = (*create_loads({}, end_s), probe)
    return Case('death', loads, end_s, kill_s=kill_s)


def list_hogs(end_s):
    """Return the cases of one large organisation among small ones.

    The keys of a caller are gone before dispatch: many keys of one
    organisation are the case of many requests through all entries.
    """
    per_s = _fleets.compute_bound(SIZE) / MAX_TOKENS
    small = tuple(
        _create_load(_URGENT, number, _SMALL_SHARE, end_s)
        for number in range(1, SIZE.organisations)
    )
    hog = _loads.Load(_URGENT, LARGE, 5 * per_s, end_s=end_s)
    hogs = {
        'no large one': (),
        'all entries, many keys': (hog,),
        'one entry': (dataclasses.replace(hog, entry=0),),
        'long prompts': (dataclasses.replace(hog, prompt_chars=4000),),
        'short requests': (
            dataclasses.replace(hog, rate=20 * per_s, max_tokens=3),
        ),
    }
    return [Case(name, small + more, end_s) for name, more in hogs.items()]
