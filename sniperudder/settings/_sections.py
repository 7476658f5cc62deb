"""Schema of the settings file: all sections and keys."""

import dataclasses

from sniperudder.settings import _kinds
from sniperudder.settings import _records
from sniperudder.tables import Policy
from sniperudder.tables import Rank
from sniperudder.tables import RANKS

REQUIRED = object()


@dataclasses.dataclass(frozen=True, slots=True)
class Option:
    """A key of a section.

    Attributes
    ----------
    key : str
        Name in the file, including the unit.
    kind : sniperudder.settings._kinds.ValueKind
    meaning : str
        Description for the documentation page.
    field : str
        Field of the record that holds the value.
    default : object
        Text used if the key is absent; None keeps the default of the
        record; ``REQUIRED`` if the key must be present.
    """

    key: str
    kind: _kinds.ValueKind
    meaning: str
    field: str
    default: object


@dataclasses.dataclass(frozen=True, slots=True)
class Section:
    """A section of the file.

    Attributes
    ----------
    kind : str
        Fixed part of the heading.
    placeholders : tuple of str
        Placeholders for the names that follow in the heading.
    required : bool
        Whether a file must contain this section.
    meaning : str
        Description for the documentation page.
    options : tuple of Option
    """

    kind: str
    placeholders: tuple
    required: bool
    meaning: str
    options: tuple


def _create_option(key, kind, meaning, default=REQUIRED, field=None):
    return Option(key, kind, meaning, field or key, default)


_INSTANCE = Section(
    'instance',
    (),
    True,
    'The entry instance itself.',
    (
        _create_option('name', _kinds.NAME, 'Unique name of this instance.'),
        _create_option(
            'data_centre', _kinds.NAME, 'Data centre in which it runs.'
        ),
        _create_option(
            'caller_address',
            _kinds.ADDRESS,
            'Address on which it listens for callers (HTTP).',
        ),
        _create_option(
            'admin_address',
            _kinds.ADDRESS,
            'Address on which it listens for operators (HTTP).',
        ),
        _create_option(
            'peer_address',
            _kinds.ADDRESS,
            'Address on which it listens for peers (thrift).',
        ),
        _create_option(
            'threads',
            _kinds.Integer(1, 4096),
            'Number of threads that serve callers; each open answer '
            'occupies one.',
            '64',
        ),
        _create_option(
            'log',
            _kinds.PATH,
            'Path of the log file, or `-` for standard error.',
            '-',
        ),
        _create_option(
            'seed',
            _kinds.Integer(0, 2**63 - 1),
            'Seed of the random number generator; if absent, a new one at '
            'each start.',
            None,
        ),
        _create_option(
            'peer_key_file',
            _kinds.PATH,
            'File that contains the key shared by the peers.',
            None,
        ),
        _create_option(
            'peer_key_env',
            _kinds.ENVIRONMENT_VARIABLE,
            'Environment variable that contains this key, instead of a file.',
            None,
        ),
    ),
)

_PLATFORM = Section(
    'platform',
    (),
    True,
    "The platform's table service, object store and instance list.",
    (
        _create_option(
            'address', _kinds.ADDRESS, 'Address on which it listens.'
        ),
        _create_option(
            'timeout_s',
            _kinds.Number(0.05, 60),
            'Maximum wait for an answer, seconds.',
            '2',
        ),
    ),
)

_POLICY_DEFAULTS = Policy()


def _create_policy_option(key, field, kind, meaning, scale=1):
    default = getattr(_POLICY_DEFAULTS, field) * scale
    return _create_option(key, kind, meaning, f'{default:g}', field)


_POLICY = Section(
    'policy',
    (),
    False,
    'Limits and durations.',
    (
        _create_policy_option(
            'heartbeat_ms',
            'heartbeat_s',
            _kinds.Number(20, 60000, 1000),
            'Interval between heartbeats to each peer, milliseconds.',
            1000,
        ),
        _create_policy_option(
            'poll_ms',
            'poll_s',
            _kinds.Number(50, 60000, 1000),
            "Interval between polls of the configuration's head, "
            'milliseconds.',
            1000,
        ),
        _create_policy_option(
            'freshness_s',
            'freshness_s',
            _kinds.Number(0.2, 600),
            'Maximum age of the last confirmation of the configuration, '
            'seconds; beyond it, no new work is sent.',
        ),
        _create_policy_option(
            'list_lag_s',
            'list_lag_s',
            _kinds.Number(0, 3600),
            "Maximum lag of the platform's list of instances, seconds; an "
            'instance that is missing from the list for longer is '
            'considered to have ended.',
        ),
        _create_policy_option(
            'command_s',
            'command_s',
            _kinds.Number(1, 600),
            'Time after which an unfinished command times out, seconds.',
        ),
        _create_policy_option(
            'suspect_s',
            'suspect_s',
            _kinds.Number(0.1, 600),
            'Silence after which a peer is suspected, seconds.',
        ),
        _create_policy_option(
            'max_attempts',
            'max_attempts',
            _kinds.Integer(1, 100),
            'Maximum number of attempts per request.',
        ),
        _create_policy_option(
            'retry_share',
            'retry_share',
            _kinds.Number(0, 1),
            'Allowed number of retries, as a fraction of the number of '
            'first attempts.',
        ),
        _create_policy_option(
            'step_timeout_s',
            'step_timeout_s',
            _kinds.Number(0.05, 600),
            'Maximum wait for one step of an endpoint, seconds.',
        ),
        _create_policy_option(
            'order_timeout_s',
            'order_timeout_s',
            _kinds.Number(0.05, 600),
            'Maximum wait for the answer of a service, seconds.',
        ),
        _create_policy_option(
            'balancer_lag_s',
            'balancer_lag_s',
            _kinds.Number(0, 3600),
            'Time for which a stopping instance still accepts new work, '
            "since the platform's load balancer continues to route work "
            'to it, seconds.',
        ),
        _create_policy_option(
            'drain_s',
            'drain_s',
            _kinds.Number(0, 86400),
            'Maximum duration of a planned stop, seconds.',
        ),
        _create_option(
            'placement',
            _kinds.Text(
                'home|independent|round_robin',
                'one of home, independent, round_robin',
            ),
            'Which instance allocates the slots of endpoints: one home '
            'instance per model (`home`), or each instance independently '
            '(`independent`); `round_robin` is for comparison.',
            _POLICY_DEFAULTS.placement,
        ),
    ),
)


def _create_rank_section(rank):
    defaults = _POLICY_DEFAULTS.ranks[rank]

    def create_option(field, kind, meaning):
        default = f'{getattr(defaults, field):g}'
        return _create_option(field, kind, meaning, default)

    return Section(
        f'rank {rank.name.lower()}',
        (),
        False,
        f'Limits of the {rank.name.lower()} rank.',
        (
            create_option(
                'floor',
                _kinds.Number(0, 1),
                'Minimum share of the slots, weighted by speed, that the rank '
                'keeps while it has work.',
            ),
            create_option(
                'max_wait_s',
                _kinds.Number(0, 86400),
                'Maximum expected wait for the first token, seconds; requests '
                'that would wait longer are rejected.',
            ),
            create_option(
                'max_queued',
                _kinds.Integer(0, 1000000),
                'Maximum number of queued requests; beyond it, requests are '
                'rejected.',
            ),
            create_option(
                'deadline_s',
                _kinds.Number(0.1, 86400),
                'Time allowed for a complete answer if the caller sets none, '
                'seconds.',
            ),
        ),
    )


_MODEL = Section(
    'model',
    ('NAME',),
    False,
    'A language model.',
    (
        _create_option(
            'layers', _kinds.Integer(1, 10000), 'Number of layers.'
        ),
        _create_option(
            'version', _kinds.NAME, 'Version used for new answers.', '1'
        ),
    ),
)

_ENDPOINT = Section(
    'endpoint',
    ('NAME',),
    False,
    'A model engine.',
    (
        _create_option(
            'address', _kinds.ADDRESS, 'Address on which it listens.'
        ),
        _create_option(
            'data_centre', _kinds.NAME, 'Data centre in which it runs.'
        ),
        _create_option('accelerator', _kinds.NAME, 'Type of accelerator.'),
        _create_option('model', _kinds.NAME, 'Model whose layers it holds.'),
        _create_option('version', _kinds.NAME, 'Version of the model.', '1'),
        _create_option(
            'first_layer',
            _kinds.Integer(0, 9999),
            'Index of the first layer that it holds, from 0.',
        ),
        _create_option(
            'end_layer',
            _kinds.Integer(1, 10000),
            'Index of the layer after the last one that it holds.',
        ),
        _create_option(
            'max_streams',
            _kinds.Integer(1, 65536),
            'Maximum number of streams that it batches.',
        ),
        _create_option(
            'deduplicates',
            _kinds.FLAG,
            'Whether it recognises a repeated step.',
            'no',
        ),
        _create_option(
            'checks_fencing',
            _kinds.FLAG,
            'Whether it rejects orders with an outdated fencing number.',
            'no',
        ),
        _create_option(
            'checks_orders_sender',
            _kinds.FLAG,
            'Whether it verifies the sender of orders.',
            'no',
        ),
    ),
)

_SERVICE = Section(
    'service',
    ('NAME',),
    False,
    'A service other than a model engine.',
    (
        _create_option(
            'addresses',
            _kinds.ADDRESSES,
            'Addresses on which its workers listen.',
        ),
        _create_option(
            'repeatable',
            _kinds.FLAG,
            'Whether a call may be sent twice.',
            'no',
        ),
        _create_option(
            'deduplicates',
            _kinds.FLAG,
            'Whether it recognises a repeated idempotency key.',
            'no',
        ),
        _create_option(
            'lookup',
            _kinds.FLAG,
            'Whether the result of an idempotency key can be queried.',
            'no',
        ),
        _create_option(
            'settle_s',
            _kinds.Number(5, 3600),
            'Time after which it no longer starts a call that it has not '
            'yet received, seconds.',
            '10',
        ),
    ),
)

_ORGANISATION = Section(
    'organisation',
    ('NAME',),
    False,
    'A customer.',
    (
        _create_option(
            'weight',
            _kinds.Number(0.001, 1000),
            'Share relative to other organisations of the same rank.',
            '1',
        ),
    ),
)

_KEY = Section(
    'key',
    ('NAME',),
    False,
    "A caller's API key.",
    (
        _create_option(
            'organisation',
            _kinds.NAME,
            'Organisation that the key belongs to.',
        ),
        _create_option(
            'rank',
            _kinds.Choice(Rank),
            'Rank of requests with this key.',
        ),
        _create_option(
            'sha256',
            _kinds.DIGEST,
            'SHA-256 digest of the key.',
            field='digest',
        ),
    ),
)

_OPERATOR = Section(
    'operator',
    ('NAME',),
    False,
    "An operator's key.",
    (
        _create_option(
            'role',
            _kinds.Choice(_records.Role),
            'Permissions; each role includes those listed before it.',
        ),
        _create_option(
            'sha256',
            _kinds.DIGEST,
            'SHA-256 digest of the key.',
            field='digest',
        ),
    ),
)

_LINK = Section(
    'link',
    ('A', 'B'),
    False,
    'The network between two data centres, symmetric.',
    (
        _create_option(
            'latency_us',
            _kinds.Number(0, 10000000, 1000000),
            'One-way latency, microseconds.',
            field='latency_s',
        ),
        _create_option(
            'mbit_per_s',
            _kinds.Number(0.001, 10000000),
            'Bandwidth, megabits per second.',
        ),
    ),
)

_PEER = Section(
    'peer',
    ('NAME',),
    False,
    "Another entry instance, known before the platform's list is read.",
    (
        _create_option(
            'address', _kinds.ADDRESS, 'The `peer_address` of that instance.'
        ),
        _create_option(
            'data_centre', _kinds.NAME, 'Data centre in which it runs.'
        ),
    ),
)

SECTIONS = (
    _INSTANCE,
    _PLATFORM,
    _POLICY,
    *(_create_rank_section(rank) for rank in RANKS),
    _MODEL,
    _ENDPOINT,
    _SERVICE,
    _ORGANISATION,
    _KEY,
    _OPERATOR,
    _LINK,
    _PEER,
)


def describe_heading(section):
    """Return the heading of a section, without brackets."""
    return ' '.join((section.kind, *section.placeholders))


def find_section(heading):
    """Return the schema of a heading, and the names in the heading.

    Returns
    -------
    Section or None
        None if no section has such a heading.
    tuple of str
    """
    words = tuple(heading.split())
    for section in SECTIONS:
        kind = tuple(section.kind.split())
        names = words[len(kind) :]
        if words[: len(kind)] == kind and len(names) == len(
            section.placeholders
        ):
            return section, names
    return None, ()
