"""Settings files for the entry instances of a scenario."""

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
    """Return the API key of an organisation for work of a rank."""
    return f'key-{organisation}-{rank}'


def render_settings(scenario, name, addresses, log):
    """Render the settings file of an entry instance.

    Parameters
    ----------
    scenario : Scenario
    name : str
        Name of the entry instance.
    addresses : dict of str to str
        ``host:port`` by name: stand-ins by their name, the listeners of
        entry instances by their name with ``/callers``, ``/admin`` and
        ``/peers``, and the links that the scenario cuts by `name_link`.
    log : str
        Path of the log file.

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
            'sha256': _hash_key(OPERATOR_KEY),
        },
    }
    sections |= _describe_fleet(scenario, addresses)
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_dict(sections)
    file = io.StringIO()
    parser.write(file)
    return file.getvalue()


def name_link(entry, target):
    """Return the name of the link from an entry instance to a stand-in."""
    return f'{entry}>{target}'


def find_links(addresses, entry):
    """Return the addresses of the links of an entry instance by stand-in."""
    prefix = name_link(entry, '')
    return {
        link.removeprefix(prefix): address
        for link, address in addresses.items()
        if link.startswith(prefix)
    }


def _hash_key(key):
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
            'deduplicates': _format_flag(ep.deduplicates),
        }
    for service in scenario.list_statements(_records.DefineService):
        sections[f'service {service.name}'] = {
            'addresses': addresses[service.name],
            'deduplicates': _format_flag(service.deduplicates),
            'lookup': _format_flag(service.lookup),
            'settle_s': 5,
        }
    for org in scenario.list_statements(_records.DefineOrganisation):
        sections[f'organisation {org.name}'] = {'weight': org.weight}
        for rank in _RANKS:
            sections[f'key {org.name}-{rank}'] = {
                'organisation': org.name,
                'rank': rank,
                'sha256': _hash_key(make_key(org.name, rank)),
            }
    for entry in scenario.list_statements(_records.DefineEntry):
        sections[f'peer {entry.name}'] = {
            'address': addresses[f'{entry.name}/peers'],
            'data_centre': DATA_CENTRE,
        }
    return sections


def _format_flag(flag):
    return 'yes' if flag else 'no'
