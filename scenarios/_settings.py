"""Settings files of the entry instances of a scenario."""

import configparser
import hashlib
import io

from scenarios import _records

_RANKS = ('urgent', 'middle', 'least')
_ACCELERATOR = 'standin'
_THREADS = 512
DATA_CENTRE = 'here'
OPERATOR_KEY = 'operator-key'
PEER_KEY_VARIABLE = 'SNIPERUDDER_PEER_KEY'


def make_key(organisation, rank):
    """Return the key of an organisation's work of a rank."""
    return f'key-{organisation}-{rank}'


def render_settings(scenario, name, addresses, log):
    """Return the settings of an entry instance.

    Parameters
    ----------
    scenario : Scenario
    name : str
        Name of the entry instance.
    addresses : dict of str to str
        ``host:port`` of stand-ins by name, and of entry instances by
        name with ``/callers``, ``/admin`` and ``/peers``; links that
        can be cut by `name_link`.
    log : str
        Path of the log.

    Returns
    -------
    str
    """
    addresses = addresses | find_links(addresses, name)
    sections = {
        'instance': {
            'name': name,
            'data_centre': DATA_CENTRE,
            'caller_address': addresses[f'{name}/callers'],
            'admin_address': addresses[f'{name}/admin'],
            'peer_address': addresses[f'{name}/peers'],
            'threads': _THREADS,
            'log': log,
            'peer_key_env': PEER_KEY_VARIABLE,
        },
        'platform': {'address': addresses['platform'], 'timeout_s': 1},
        'operator demo': {
            'role': 'administer',
            'sha256': _digest(OPERATOR_KEY),
        },
    }
    sections |= _describe_fleet(scenario, addresses)
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_dict(sections)
    file = io.StringIO()
    parser.write(file)
    return file.getvalue()


def name_link(entry, target):
    """Return the name of the link from an entry to a stand-in."""
    return f'{entry}>{target}'


def find_links(addresses, entry):
    """Return the addresses at which an entry finds stand-ins by links."""
    prefix = name_link(entry, '')
    return {
        link.removeprefix(prefix): address
        for link, address in addresses.items()
        if link.startswith(prefix)
    }


def _digest(key):
    return hashlib.sha256(key.encode()).hexdigest()


def _describe_fleet(scenario, addresses):
    sections = {}
    (model,) = scenario.list_statements(_records.DefineModel)
    sections[f'model {model.name}'] = {'layers': model.layers}
    for ep in scenario.list_statements(_records.DefineEndpoint):
        sections[f'endpoint {ep.name}'] = {
            'address': addresses[ep.name],
            'data_centre': DATA_CENTRE,
            'accelerator': _ACCELERATOR,
            'model': model.name,
            'first_layer': ep.first_layer,
            'end_layer': ep.end_layer,
            'max_streams': ep.max_streams,
            'deduplicates': _answer(ep.deduplicates),
        }
    for service in scenario.list_statements(_records.DefineService):
        sections[f'service {service.name}'] = {
            'addresses': addresses[service.name],
            'deduplicates': _answer(service.deduplicates),
            'lookup': _answer(service.lookup),
            'settle_s': 5,
        }
    for org in scenario.list_statements(_records.DefineOrganisation):
        sections[f'organisation {org.name}'] = {'weight': org.weight}
        for rank in _RANKS:
            sections[f'key {org.name}-{rank}'] = {
                'organisation': org.name,
                'rank': rank,
                'sha256': _digest(make_key(org.name, rank)),
            }
    for entry in scenario.list_statements(_records.DefineEntry):
        sections[f'peer {entry.name}'] = {
            'address': addresses[f'{entry.name}/peers'],
            'data_centre': DATA_CENTRE,
        }
    return sections


def _answer(flag):
    return 'yes' if flag else 'no'
