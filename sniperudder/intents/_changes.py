"""Application of committed changes to the configuration."""

import copy

from sniperudder.intents import _codec
from sniperudder.intents import _intents


def apply_change(config, change):
    """Return the configuration after a further change.

    Parameters
    ----------
    config : sniperudder.tables.Configuration
        Not modified.
    change : sniperudder.tables.Change
        Its version must be one above the configuration's.

    Returns
    -------
    sniperudder.tables.Configuration

    Raises
    ------
    ValueError
        If the change's version is not the next one, or if its intent
        cannot be decoded.

    Examples
    --------
    >>> from sniperudder.tables import Change, Configuration
    >>> body = '{"endpoint": "gpu-1"}'
    >>> change = Change(1, 'c1', 'ada', 'Withdraw', body)
    >>> apply_change(Configuration(), change).withdrawn
    {'gpu-1'}
    """
    if change.version != config.version + 1:
        raise ValueError(
            f'change {change.version} cannot follow {config.version}'
        )
    intent = _codec.decode_intent(change.kind, change.body)
    result = copy.copy(config)
    result.version = change.version
    _apply_intent(result, intent)
    return result


def _apply_intent(config, intent):
    match intent:
        case _intents.Withdraw(endpoint=name):
            config.withdrawn = config.withdrawn | {name}
        case _intents.Return(endpoint=name):
            config.withdrawn = config.withdrawn - {name}
        case _intents.StopInstance(instance=name):
            config.stopping = config.stopping | {name}
        case _intents.Shed():
            _apply_shed(config, intent)
        case _intents.Allow(endpoint=name, ranks=ranks):
            allowed = frozenset(ranks)
            config.allowed_ranks = config.allowed_ranks | {name: allowed}
        case _intents.SetFloor(rank=rank, share=share):
            config.floors = config.floors | {rank: share}
        case _intents.SetWeight(organisation=name, weight=weight):
            config.weights = config.weights | {name: weight}
        case _intents.Join(instance=name):
            config.members = config.members | {name}
            config.ended = config.ended - {name}
        case _intents.Leave(instance=name, ended=ended):
            config.members = config.members - {name}
            if ended:
                config.ended = config.ended | {name}
            config.stopping = config.stopping - {name}


def _apply_shed(config, intent):
    if intent.rank is not None:
        shares = config.shed_ranks | {intent.rank: intent.share}
        config.shed_ranks = _remove_zeros(shares)
    elif intent.organisation:
        shares = config.shed_organisations
        shares = shares | {intent.organisation: intent.share}
        config.shed_organisations = _remove_zeros(shares)
    else:
        shares = config.shed_models | {intent.model: intent.share}
        config.shed_models = _remove_zeros(shares)


def _remove_zeros(shares):
    return {name: share for name, share in shares.items() if share > 0}
