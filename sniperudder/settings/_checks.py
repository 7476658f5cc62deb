"""Consistency checks of settings across keys and sections."""

import os

from sniperudder.settings import _records
from sniperudder.systems import configuration
from sniperudder.tables import RANKS

# Shorter shared keys can be guessed.
_MIN_PEER_KEY_BYTES = 16

# Per policy field: its key in the file, and file units per second.
_TIME_KEYS = {
    'freshness_s': ('freshness_s', 1),
    'heartbeat_s': ('heartbeat_ms', 1000),
    'poll_s': ('poll_ms', 1000),
}


def check_consistency(result):
    """Check all settings together, after each key has been read.

    Parameters
    ----------
    result : sniperudder.settings._reading.ReadResult

    Returns
    -------
    list of Mistake

    Notes
    -----
    Takes O(m + e log e + l) time for m models, e endpoints and l other
    records.
    """
    settings = result.settings
    return [
        *_check_models(result),
        *_check_layers(settings),
        *_check_chains(result),
        *_check_organisations(result),
        *_check_floors(settings),
        *_check_times(settings),
        *_check_addresses(settings),
        *_check_digests(settings),
        *_check_links(result),
        *_check_peer_key_source(settings),
    ]


def _check_models(result):
    models = result.settings.models
    for ep in result.settings.endpoints.values():
        if (
            ep.model in models
            or ('model', ep.model) in result.invalid_sections
        ):
            continue
        allowed = 'a model defined in this file: ' + (
            ', '.join(models) or 'none'
        )
        yield _create_mistake('endpoint', ep, 'model', ep.model, allowed)


def _check_layers(settings):
    for ep in settings.endpoints.values():
        if ep.first_layer >= ep.end_layer:
            allowed = f'more than first_layer ({ep.first_layer})'
            yield _create_mistake(
                'endpoint', ep, 'end_layer', ep.end_layer, allowed
            )
        model = settings.models.get(ep.model)
        if model is not None and ep.end_layer > model.layers:
            allowed = f'at most {model.layers}, the layer count of {ep.model}'
            yield _create_mistake(
                'endpoint', ep, 'end_layer', ep.end_layer, allowed
            )


def _check_chains(result):
    # An endpoint section that could not be read may cover the gap.
    if any(kind == 'endpoint' for kind, _ in result.invalid_sections):
        return
    for model in result.settings.models.values():
        end = _find_chain_end(model, result.settings.endpoints.values())
        if end < model.layers:
            found = f'no chain of version {model.version} beyond layer {end}'
            allowed = f'adjacent layer ranges from 0 to {model.layers}'
            yield _records.Mistake(f'model {model.name}', '', found, allowed)


def _find_chain_end(model, endpoints):
    """Return the end layer of the longest chain from layer 0.

    The layer ranges of a chain have no gaps and do not overlap.
    """
    reached = {0}
    for ep in sorted(endpoints, key=lambda ep: ep.first_layer):
        if ep.model != model.name or ep.version != model.version:
            continue
        if ep.first_layer in reached:
            reached.add(ep.end_layer)
    if model.layers in reached:
        return model.layers
    return max((end for end in reached if end < model.layers), default=0)


def _check_organisations(result):
    organisations = result.settings.organisations
    for key in result.settings.keys.values():
        org = key.organisation
        if (
            org in organisations
            or ('organisation', org) in result.invalid_sections
        ):
            continue
        allowed = 'an organisation defined in this file'
        yield _create_mistake('key', key, 'organisation', org, allowed)


def _check_floors(settings):
    total = sum(settings.policy.ranks[rank].floor for rank in RANKS)
    # Tolerates the rounding error of summing decimal fractions.
    if total > 1 + 1e-9:
        found = f'a total of {total:g} for the three ranks'
        yield _records.Mistake('rank', 'floor', found, 'at most 1')


def _check_times(settings):
    policy = settings.policy
    limits = configuration.find_exceeded_limits(policy)
    reported = any(limit.field == 'heartbeat_s' for limit in limits)
    if policy.heartbeat_s >= policy.suspect_s and not reported:
        found = f'{policy.heartbeat_s * 1000:g}'
        allowed = f'less than suspect_s ({policy.suspect_s:g})'
        yield _records.Mistake('policy', 'heartbeat_ms', found, allowed)
    for limit in limits:
        key, factor = _TIME_KEYS[limit.field]
        found = f'{limit.found * factor:g}'
        allowed = f'at most {limit.max_s * factor:g}, see CONFIGURATION.md'
        yield _records.Mistake('policy', key, found, allowed)


def _check_addresses(settings):
    owners = {}
    for heading, key, address in _list_addresses(settings):
        if owners.setdefault(address, heading) == heading:
            # Within one section, only the three addresses of the instance
            # or the workers of a service can collide; the function
            # _check_duplicate_addresses reports those.
            continue
        allowed = f'an address other than that of [{owners[address]}]'
        yield _records.Mistake(heading, key, address, allowed)
    yield from _check_duplicate_addresses(settings)


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
    """Return whether a peer is this instance.

    All instances may share one list of peers, which then
    includes each of them.
    """
    instance = settings.instance
    if instance is None:
        return False
    return (peer.name, peer.address) == (instance.name, instance.peer_address)


def _check_duplicate_addresses(settings):
    for service in settings.services.values():
        if len(set(service.addresses)) < len(service.addresses):
            yield _create_mistake(
                'service',
                service,
                'addresses',
                'a duplicate',
                'distinct addresses',
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
        allowed = 'three distinct addresses'
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
                found = f'the digest of [{owner}]'
                yield _records.Mistake(
                    heading, 'sha256', found, 'a distinct key'
                )


def _check_links(result):
    settings = result.settings
    if settings.instance is None or result.invalid_sections:
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
            allowed = 'two distinct data centres'
            yield _records.Mistake(heading, '', repr(first), allowed)
        elif (second, first) in settings.links and first > second:
            yield _records.Mistake(heading, '', 'a duplicate', 'one link')


def _check_peer_key_source(settings):
    instance = settings.instance
    if instance and instance.peer_key_file and instance.peer_key_env:
        found = 'peer_key_file as well'
        allowed = 'only one of the two'
        yield _records.Mistake('instance', 'peer_key_env', found, allowed)


def read_peer_key(settings):
    """Read the key that the peers share.

    Returns
    -------
    bytes or None
        None if the settings name no key, or if it is unusable.
    list of Mistake
        Their texts never contain the key.
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
    found = f'a secret of {len(data)} bytes'
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
