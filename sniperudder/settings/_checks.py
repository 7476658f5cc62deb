"""Checks of settings that concern more than one key."""

import os

from sniperudder.settings import _records
from sniperudder.systems import configuration
from sniperudder.tables import RANKS

# A shared key that is shorter than this can be guessed.
_MIN_PEER_KEY_BYTES = 16

# Key of a time and how many of its units are a second.
_TIME_KEYS = {
    'freshness_s': ('freshness_s', 1),
    'heartbeat_s': ('heartbeat_ms', 1000),
    'poll_s': ('poll_ms', 1000),
}


def check_whole(reading):
    """Return the mistakes that no single key shows.

    Parameters
    ----------
    reading : sniperudder.settings._reading.Reading

    Returns
    -------
    list of Mistake

    Notes
    -----
    Time grows as m + e log e + l for m models, e endpoints and l
    other records.
    """
    settings = reading.settings
    return [
        *_check_models(reading),
        *_check_layers(settings),
        *_check_chains(reading),
        *_check_organisations(reading),
        *_check_floors(settings),
        *_check_times(settings),
        *_check_addresses(settings),
        *_check_digests(settings),
        *_check_links(reading),
        *_check_peer_key_place(settings),
    ]


def _check_models(reading):
    models = reading.settings.models
    for ep in reading.settings.endpoints.values():
        if ep.model in models or ('model', ep.model) in reading.broken:
            continue
        allowed = 'a model of this file: ' + (', '.join(models) or 'none')
        yield _create_mistake('endpoint', ep, 'model', ep.model, allowed)


def _check_layers(settings):
    for ep in settings.endpoints.values():
        if ep.first_layer >= ep.end_layer:
            allowed = f'more than first_layer, which is {ep.first_layer}'
            yield _create_mistake(
                'endpoint', ep, 'end_layer', ep.end_layer, allowed
            )
        model = settings.models.get(ep.model)
        if model is not None and ep.end_layer > model.layers:
            allowed = f'at most {model.layers}, the layers of {ep.model}'
            yield _create_mistake(
                'endpoint', ep, 'end_layer', ep.end_layer, allowed
            )


def _check_chains(reading):
    # An endpoint that could not be read may be the one that is missing.
    if any(kind == 'endpoint' for kind, _ in reading.broken):
        return
    for model in reading.settings.models.values():
        end = _find_reach(model, reading.settings.endpoints.values())
        if end < model.layers:
            found = f'no chain of version {model.version} past layer {end}'
            allowed = f'endpoints that join up from 0 to {model.layers}'
            yield _records.Mistake(f'model {model.name}', '', found, allowed)


def _find_reach(model, endpoints):
    """Return how far chains get from layer 0 without gap or overlap."""
    reached = {0}
    for ep in sorted(endpoints, key=lambda ep: ep.first_layer):
        if ep.model != model.name or ep.version != model.version:
            continue
        if ep.first_layer in reached:
            reached.add(ep.end_layer)
    if model.layers in reached:
        return model.layers
    return max((end for end in reached if end < model.layers), default=0)


def _check_organisations(reading):
    organisations = reading.settings.organisations
    for key in reading.settings.keys.values():
        org = key.organisation
        if org in organisations or ('organisation', org) in reading.broken:
            continue
        allowed = 'an organisation of this file'
        yield _create_mistake('key', key, 'organisation', org, allowed)


def _check_floors(settings):
    total = sum(settings.policy.ranks[rank].floor for rank in RANKS)
    # Sums of decimal fractions may exceed 1 by rounding alone.
    if total > 1 + 1e-9:
        found = f'{total:g} for the three ranks together'
        yield _records.Mistake('rank', 'floor', found, 'at most 1')


def _check_times(settings):
    policy = settings.policy
    limits = configuration.check_times(policy)
    known = any(limit.field == 'heartbeat_s' for limit in limits)
    if policy.heartbeat_s >= policy.suspect_s and not known:
        found = f'{policy.heartbeat_s * 1000:g}'
        allowed = f'less than suspect_s, which is {policy.suspect_s:g}'
        yield _records.Mistake('policy', 'heartbeat_ms', found, allowed)
    for limit in limits:
        key, factor = _TIME_KEYS[limit.field]
        found = f'{limit.found * factor:g}'
        allowed = f'at most {limit.most_s * factor:g}, see CONFIGURATION.md'
        yield _records.Mistake('policy', key, found, allowed)


def _check_addresses(settings):
    owners = {}
    for heading, key, address in _list_addresses(settings):
        if owners.setdefault(address, heading) == heading:
            # Within one section only the three of the instance and the
            # workers of a service can collide; those are caught below.
            continue
        allowed = f'another address than that of [{owners[address]}]'
        yield _records.Mistake(heading, key, address, allowed)
    yield from _check_repeats(settings)


def _list_addresses(settings):
    if settings.instance is not None:
        for key in ('caller_address', 'admin_address', 'peer_address'):
            yield 'instance', key, getattr(settings.instance, key)
    if settings.platform is not None:
        yield 'platform', 'address', settings.platform.address
    for ep in settings.endpoints.values():
        yield f'endpoint {ep.name}', 'address', ep.address
    for service in settings.services.values():
        for address in service.addresses:
            yield f'service {service.name}', 'addresses', address
    for peer in settings.peers.values():
        if _is_self(settings, peer):
            continue
        yield f'peer {peer.name}', 'address', peer.address


def _is_self(settings, peer):
    """Tell whether a peer is this instance; all may share one list."""
    instance = settings.instance
    if instance is None:
        return False
    return (peer.name, peer.address) == (instance.name, instance.peer_address)


def _check_repeats(settings):
    for service in settings.services.values():
        if len(set(service.addresses)) < len(service.addresses):
            yield _create_mistake(
                'service', service, 'addresses', 'one twice', 'each once'
            )
    instance = settings.instance
    if instance is None:
        return
    own = (
        instance.caller_address,
        instance.admin_address,
        instance.peer_address,
    )
    if len(set(own)) < len(own):
        found = ', '.join(own)
        allowed = 'three different addresses'
        yield _records.Mistake('instance', 'address', found, allowed)


def _check_digests(settings):
    owners = {}
    for kind, records in (
        ('key', settings.keys),
        ('operator', settings.operators),
    ):
        for record in records.values():
            heading = f'{kind} {record.name}'
            owner = owners.setdefault(record.digest, heading)
            if owner != heading:
                found = f'the same as [{owner}]'
                yield _records.Mistake(
                    heading, 'sha256', found, 'a key of its own'
                )


def _check_links(reading):
    settings = reading.settings
    if settings.instance is None or reading.broken:
        return
    known = {settings.instance.data_centre}
    known.update(ep.data_centre for ep in settings.endpoints.values())
    known.update(peer.data_centre for peer in settings.peers.values())
    for first, second in settings.links:
        heading = f'link {first} {second}'
        for name in (first, second):
            if name not in known:
                allowed = 'one of ' + ', '.join(sorted(known))
                yield _records.Mistake(heading, '', repr(name), allowed)
        if first == second:
            allowed = 'two different data centres'
            yield _records.Mistake(heading, '', repr(first), allowed)
        elif (second, first) in settings.links and first > second:
            yield _records.Mistake(heading, '', 'the same again', 'one only')


def _check_peer_key_place(settings):
    instance = settings.instance
    if instance and instance.peer_key_file and instance.peer_key_env:
        found = 'peer_key_file too'
        allowed = 'one of the two'
        yield _records.Mistake('instance', 'peer_key_env', found, allowed)


def read_peer_key(settings):
    """Read the key that peers share.

    Returns
    -------
    bytes or None
        None where the settings name none.
    list of Mistake
        They never show the key.
    """
    instance = settings.instance
    if instance is None:
        return None, []
    if instance.peer_key_file:
        key = 'peer_key_file'
        data = _read_secret_file(instance.peer_key_file)
    elif instance.peer_key_env:
        key = 'peer_key_env'
        data = os.environ.get(instance.peer_key_env, '').encode()
    else:
        return None, []
    data = data.strip()
    if len(data) >= _MIN_PEER_KEY_BYTES:
        return data, []
    found = f'{len(data)} bytes there'
    allowed = f'a secret of at least {_MIN_PEER_KEY_BYTES} bytes'
    return None, [_records.Mistake('instance', key, found, allowed)]


def _read_secret_file(path):
    try:
        with open(path, 'rb') as file:
            return file.read()
    except OSError:
        return b''


def _create_mistake(kind, record, key, found, allowed):
    heading = f'{kind} {record.name}'
    return _records.Mistake(heading, key, str(found), allowed)
