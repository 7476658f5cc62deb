"""Decoding of the operators' configuration.

Versions may follow each other quickly, and a configuration may be large, so
nothing is done twice: what a new document has in common with the last one is
neither parsed nor decoded again.
"""

import collections

from sniperudder import fleet
from sniperudder.platform import _documents
from sniperudder.platform import _parsing

# Key of the row of the configurations' table that is in force.
CONFIGURATION_KEY = 'config'

_REPEATABLE_KIND = 'safe'
_STREAMING_KIND = 'streaming'

_ROUTES = 'routes'
_SERVICES = 'services'
_ORGANISATIONS = 'tenants'
_ENTRY_FIELDS = (_ROUTES, _SERVICES, _ORGANISATIONS)

# Documents that are kept: the one in force, and those that the store, the feed
# and a peer have sent and that are read at the same time.
_MAX_DOCUMENTS = 4


class ConfigurationDecoder:
    """Decodes configurations and remembers the last ones.

    Examples
    --------
    >>> data = (
    ...     b'{"version": 3, "routes": [], "services": [], "limits": {'
    ...     b'"max_header_bytes": 9, "max_body_bytes": 9,'
    ...     b'"header_timeout_ms": 9, "idle_timeout_ms": 9}}'
    ... )
    >>> decoder = ConfigurationDecoder()
    >>> configuration = decoder.decode(data)
    >>> configuration.version
    3
    >>> decoder.decode(data) is configuration
    True
    """

    __slots__ = ('_documents', '_last')

    def __init__(self):
        self._last = _Decoded()
        # By their bytes, the last used one last.
        self._documents = collections.OrderedDict()

    def read(self, data):
        """Read a document in small steps, so that decoding it is quick.

        Reading may be given up at any step; it goes on there the next time.
        Several documents can be read at the same time.

        Parameters
        ----------
        data : bytes
            Value of the row.

        Yields
        ------
        None
            After each step.
        """
        document = self._get_document(data)
        # Not `yield from`, which would end the steps with this iterator.
        for _ in document.steps:
            yield
        self._keep(data, document)

    def decode(self, data):
        """Decode the configuration stored in a row.

        Parameters
        ----------
        data : bytes
            Value of the row.

        Returns
        -------
        sniperudder.fleet.Configuration

        Raises
        ------
        DocumentError
            If the value is malformed.
        """
        document = self._finish(data)
        if document.configuration is None:
            raise _documents.DocumentError(document.error)
        return document.configuration

    def supersedes(self, row, known):
        """Return whether a row of the table replaces another one.

        The operators' version of a configuration decides, and not the state
        of the store at which it was written: a configuration that was
        confirmed stays in force if the store has lost it.

        Parameters
        ----------
        row, known : StoredRow
            Rows with the same key.

        Returns
        -------
        bool
        """
        if row.key != CONFIGURATION_KEY:
            return row.revision >= known.revision
        known_version = self._get_version(known)
        if known_version is None:
            return True
        version = self._get_version(row)
        return version is not None and version >= known_version

    def _get_version(self, row):
        """Return the operators' version; None if there is none to be read."""
        if row.value is None:
            return None
        return self._finish(row.value).version

    def _finish(self, data):
        document = self._get_document(data)
        for _ in document.steps:
            pass
        return document

    def _get_document(self, data):
        document = self._documents.get(data)
        if document is None:
            document = _Document()
            document.steps = self._read_document(data, document)
        self._keep(data, document)
        return document

    def _read_document(self, data, document):
        decoded = yield from document.read(data, self._last)
        if decoded is not None:
            self._last = decoded

    def _keep(self, data, document):
        """Keep a document as the one that was used last."""
        self._documents[data] = document
        self._documents.move_to_end(data)
        if len(self._documents) > _MAX_DOCUMENTS:
            self._documents.popitem(last=False)


class _Decoded:
    """What the decoding of the next document can use of one.

    Attributes
    ----------
    entries : dict of str to Entries
        By the name of the field.
    groups : dict of str to list of Route
        Routes by host in the document's order.
    routes : dict of str to tuple of Route
        By host, longest prefix first.
    """

    __slots__ = ('entries', 'groups', 'routes')

    def __init__(self):
        self.entries = {field: _parsing.Entries() for field in _ENTRY_FIELDS}
        self.groups = {}
        self.routes = {}


class _Document:
    """What was read from a document.

    Attributes
    ----------
    version : int or None
        The operators' version; None if there is none to be read.
    configuration : sniperudder.fleet.Configuration or None
    error : str
        Why there is no configuration.
    steps : iterator
        The steps of reading that are left.
    """

    __slots__ = ('configuration', 'error', 'steps', 'version')

    def __init__(self):
        self.version = self.configuration = None
        self.error = 'not read to its end'
        self.steps = iter(())

    def read(self, data, last):
        """Read a document in steps.

        Parameters
        ----------
        data : bytes
        last : _Decoded
            From an earlier document.

        Returns
        -------
        _Decoded or None
            None if the document is malformed.
        """
        try:
            value = yield from _parsing.parse_in_steps(data, last.entries)
            self.version = _documents.get_field(value, 'version', int)
            decoded = _Decoded()
            self.configuration = yield from _decode_in_steps(
                value, self.version, last, decoded
            )
        except _documents.DocumentError as error:
            self.error = str(error)
            return None
        return decoded


def decode_configuration(data):
    """Decode a configuration; see `ConfigurationDecoder.decode`."""
    return ConfigurationDecoder().decode(data)


def _decode_in_steps(value, version, last, decoded):
    """Decode a configuration; fill ``decoded`` for the next one."""
    for entry in _get_entries(value, _ROUTES, decoded):
        route = entry.decode(_decode_route)
        decoded.groups.setdefault(route.host, []).append(route)
        yield
    for host, group in decoded.groups.items():
        if group == last.groups.get(host):
            decoded.routes[host] = last.routes[host]
        else:
            decoded.routes[host] = _sort_routes(group)
        yield
    services = {}
    for entry in _get_entries(value, _SERVICES, decoded):
        service = entry.decode(_decode_service)
        services[service.name] = service
        yield
    keys = None
    if _ORGANISATIONS in value:
        keys = {}
        for entry in _get_entries(value, _ORGANISATIONS, decoded):
            organisation, own_keys = entry.decode(_decode_organisation)
            keys.update(dict.fromkeys(own_keys, organisation))
            yield
    return fleet.Configuration(
        version=version,
        routes=decoded.routes,
        services=services,
        keys=keys,
        limits=_decode_limits(_documents.get_field(value, 'limits', dict)),
    )


def _get_entries(value, field, decoded):
    entries = _documents.get_field(value, field, _parsing.Entries)
    decoded.entries[field] = entries
    return entries


def _sort_routes(group):
    return tuple(sorted(group, key=lambda route: -len(route.prefix)))


def _decode_route(value):
    kind = _documents.get_field(value, 'kind', str)
    targets = _documents.get_field(value, 'split', list, [])
    if not targets:
        targets = [
            {
                'service': _documents.get_field(value, 'service', str),
                'weight': 1,
            }
        ]
    return fleet.Route(
        name=_documents.get_field(value, 'name', str),
        host=_documents.get_field(value, 'host', str).lower(),
        prefix=_documents.get_field(value, 'prefix', str),
        targets=tuple(
            fleet.Target(
                _documents.get_field(target, 'service', str),
                _documents.get_field(target, 'weight', float),
            )
            for target in targets
        ),
        repeatable=kind == _REPEATABLE_KIND,
        streaming=kind == _STREAMING_KIND,
        resumable=_documents.get_field(value, 'resumable', bool, False),
        public=_documents.get_field(value, 'public', bool, False),
        timeout_s=_documents.get_seconds(value, 'timeout_ms'),
        gap_target_s=_documents.get_seconds(value, 'gap_target_ms', 0.0),
        rank=_documents.get_field(value, 'priority', int, 0),
        max_attempts=max(
            1, _documents.get_field(value, 'max_attempts', int, 1)
        ),
        goal_s=_documents.get_seconds(value, 'goal_ms', 0.0),
    )


def _decode_service(value):
    name = _documents.get_field(value, 'name', str)
    engine = value.get('engine')
    return fleet.Service(
        name=name,
        max_connections=_documents.get_field(value, 'max_conns', int, 0),
        engine=_decode_engine(engine) if isinstance(engine, dict) else None,
    )


def _decode_engine(value):
    usual = _documents.get_field(value, 'usual', dict, {})
    models = _documents.get_field(value, 'models', list, [])
    accelerators = [
        fleet.Accelerator(
            name=_documents.get_field(kind, 'name', str),
            memory_mb=_documents.get_field(kind, 'size_mb', float),
            step_factor=_documents.get_field(kind, 'pace', float),
            prefill_factor=_documents.get_field(kind, 'read_factor', float),
        )
        for kind in _documents.get_field(value, 'kinds', list, [])
    ]
    return fleet.EngineProfile(
        layer_count=_documents.get_field(value, 'layers', int, 0),
        layer_mb=_documents.get_field(value, 'layer_mb', float, 0.0),
        kv_token_bytes=_documents.get_field(
            value, 'kv_token_bytes', float, 0.0
        ),
        step_ms=_documents.get_field(value, 'step_ms', float, 1.0),
        per_request_ms=_documents.get_field(value, 'per_seq_ms', float, 0.0),
        context_per_k_ms=_documents.get_field(
            value, 'context_per_k', float, 0.0
        ),
        # Tokens per second become tokens per millisecond.
        prefill_tokens_per_ms=_documents.get_seconds(
            value, 'read_per_s', 1000.0
        ),
        mean_prompt_tokens=_documents.get_field(usual, 'prompt', float, 0.0),
        mean_output_tokens=_documents.get_field(usual, 'answer', float, 0.0),
        load_s=max(
            (
                _documents.get_field(model, 'load_s', float, 0.0)
                for model in models
            ),
            default=0.0,
        ),
        activation_bytes=_documents.get_field(
            value, 'activation_bytes', float, 0.0
        ),
        link_mbps=_documents.get_field(value, 'pipe_mbps', float, 0.0),
        accelerators={
            accelerator.name: accelerator for accelerator in accelerators
        },
    )


def _decode_organisation(value):
    """Return an organisation and its API keys."""
    name = _documents.get_field(value, 'name', str)
    rank = value.get('priority')
    keys = _documents.get_field(value, 'api_keys', list)
    for key in keys:
        if not isinstance(key, str):
            raise _documents.DocumentError(
                f'api_keys: expected a string, got {key!r}'
            )
    organisation = fleet.Organisation(
        name, rank if type(rank) is int else None
    )
    return organisation, tuple(keys)


def _decode_limits(value):
    return fleet.Limits(
        max_header_bytes=_documents.get_field(value, 'max_header_bytes', int),
        max_body_bytes=_documents.get_field(value, 'max_body_bytes', int),
        header_timeout_s=_documents.get_seconds(value, 'header_timeout_ms'),
        idle_timeout_s=_documents.get_seconds(value, 'idle_timeout_ms'),
    )
