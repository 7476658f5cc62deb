"""Cases of the policy measurement, named after the overload they apply."""

import dataclasses

from measurements import _fleets
from measurements import _loads
from sniperudder import tables

FLEET_SIZE = _fleets.Size()
MAX_TOKENS = 30
# Offered load of each rank without a flood, as a share of the fleet's bound.
_BASE_LOAD_SHARE = 0.2
# Offered load of a small organisation, as a share of an equal split of the
# bound among the organisations.
_SMALL_ORGANISATION_SHARE = 0.5
PROBES_PER_S = 8.0
LARGE_ORGANISATION = 'org-0'
_LEAST = tables.Rank.LEAST
_URGENT = tables.Rank.URGENT


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """Configuration of one measurement run.

    Attributes
    ----------
    name : str
    loads : tuple of Load
    end_s : float
        Duration of the run, seconds; the second half is measured.
    placement : str
        Name of the placement policy.
    lag_s : float
        Age of load reports, seconds.
    kill_s : float or None
        Time at which the home instance is killed, seconds.
    """

    name: str
    loads: tuple
    end_s: float
    placement: str = 'home'
    lag_s: float = 1.0
    kill_at_s: float | None = None


def list_floods(end_s, factors=(2, 5, 20)):
    """Return the case without a flood, then those with floods by rank.

    Parameters
    ----------
    end_s : float
        Duration of each run, seconds.
    factors : tuple of float
        Offered load of a flooding rank as multiples of the fleet's bound.
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
    """Return loads of all ranks, split equally among the organisations.

    Parameters
    ----------
    shares : dict of Rank to float
        Offered load of the flooding ranks as a multiple of the bound.
    end_s : float
        End of the loads, seconds.
    """
    return tuple(
        _create_load(rank, number, shares.get(rank, _BASE_LOAD_SHARE), end_s)
        for rank in tables.RANKS
        for number in range(FLEET_SIZE.organisations)
    )


def _create_load(rank, number, share, end_s):
    requests_per_s = _fleets.compute_bound(FLEET_SIZE) / MAX_TOKENS
    rate = share * requests_per_s / FLEET_SIZE.organisations
    return _loads.Load(
        rank, f'org-{number}', rate, max_tokens=MAX_TOKENS, end_s=end_s
    )


def create_home_failure(end_s, kill_at_s):
    """Return the case of a home instance that fails without a flood.

    A high rate of short urgent requests shows when service has recovered.
    """
    probe = _loads.Load(
        _URGENT, 'org-1', PROBES_PER_S, max_tokens=2, end_s=end_s
    )
    loads = (*create_loads({}, end_s), probe)
    return Case('death', loads, end_s, kill_at_s=kill_at_s)


def list_large_organisation_cases(end_s):
    """Return the cases of one large organisation among small ones.

    Dispatch knows the organisation of a request but not its key, so one
    case stands for many keys and for many requests through all entries.
    """
    requests_per_s = _fleets.compute_bound(FLEET_SIZE) / MAX_TOKENS
    small_loads = tuple(
        _create_load(_URGENT, number, _SMALL_ORGANISATION_SHARE, end_s)
        for number in range(1, FLEET_SIZE.organisations)
    )
    large_load = _loads.Load(
        _URGENT, LARGE_ORGANISATION, 5 * requests_per_s, end_s=end_s
    )
    large_loads = {
        'no large one': (),
        'all entries, many keys': (large_load,),
        'one entry': (dataclasses.replace(large_load, entry=0),),
        'long prompts': (dataclasses.replace(large_load, prompt_chars=4000),),
        'short requests': (
            dataclasses.replace(
                large_load, rate=20 * requests_per_s, max_tokens=3
            ),
        ),
    }
    return [
        Case(name, small_loads + added, end_s)
        for name, added in large_loads.items()
    ]
