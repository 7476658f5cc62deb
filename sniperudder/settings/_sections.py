"""Every section and key that a settings file may hold."""

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
        Its name in the file, with the unit.
    kind : sniperudder.settings._kinds.Kind
    meaning : str
        For the table in the docs.
    field : str
        Field of the record that takes the value.
    default : object
        Text that stands where the key is absent; None leaves the
        record's own default; ``REQUIRED`` where the key must be given.
    """

    key: str
    kind: _kinds.Kind
    meaning: str
    field: str
    default: object


@dataclasses.dataclass(frozen=True, slots=True)
class Section:
    """A section of the file.

    Attributes
    ----------
    kind : str
        First word of its heading.
    words : tuple of str
        What follows in the heading, as placeholders.
    required : bool
        Whether a file must hold one.
    meaning : str
    options : tuple of Option
    """

    kind: str
    words: tuple
    required: bool
    meaning: str
    options: tuple


def _option(key, kind, meaning, default=REQUIRED, field=None):
    return Option(key, kind, meaning, field or key, default)


_INSTANCE = Section(
    'instance',
    (),
    True,
    'The process itself.',
    (
        _option('name', _kinds.NAME, 'Name of this instance, unique.'),
        _option('data_centre', _kinds.NAME, 'Where it runs.'),
        _option('caller_address', _kinds.ADDRESS, 'For callers (HTTP).'),
        _option('admin_address', _kinds.ADDRESS, 'For operators (HTTP).'),
        _option('peer_address', _kinds.ADDRESS, 'For peers (thrift).'),
        _option(
            'threads',
            _kinds.Whole(1, 4096),
            'Threads that serve callers; one for each open answer.',
            '64',
        ),
        _option(
            'log',
            _kinds.PATH,
            'File of the log, or `-` for standard error.',
            '-',
        ),
        _option(
            'seed',
            _kinds.Whole(0, 2**63 - 1),
            'Seed of the random source; absent: another one each start.',
            None,
        ),
        _option(
            'peer_key_file',
            _kinds.PATH,
            'File that holds the key which peers share.',
            None,
        ),
        _option(
            'peer_key_env',
            _kinds.VARIABLE,
            'Environment variable that holds that key instead.',
            None,
        ),
    ),
)

_PLATFORM = Section(
    'platform',
    (),
    True,
    "The platform's table service, object store and list.",
    (
        _option('address', _kinds.ADDRESS, 'Where it answers.'),
        _option(
            'timeout_s',
            _kinds.Number(0.05, 60),
            'Longest wait for an answer, seconds.',
            '2',
        ),
    ),
)

_POLICY_DEFAULTS = Policy()


def _policy_option(key, field, kind, meaning, per_unit=1):
    default = getattr(_POLICY_DEFAULTS, field) * per_unit
    return _option(key, kind, meaning, f'{default:g}', field)


_POLICY = Section(
    'policy',
    (),
    False,
    'Limits and times.',
    (
        _policy_option(
            'heartbeat_ms',
            'heartbeat_s',
            _kinds.Number(20, 60000, 1000),
            'Time between heartbeats to one peer, milliseconds.',
            1000,
        ),
        _policy_option(
            'poll_ms',
            'poll_s',
            _kinds.Number(50, 60000, 1000),
            "Time between checks of the configuration's head, milliseconds.",
            1000,
        ),
        _policy_option(
            'freshness_s',
            'freshness_s',
            _kinds.Number(0.2, 600),
            'Age of the last confirmation of the configuration after which '
            'no new work is sent, seconds.',
        ),
        _policy_option(
            'list_lag_s',
            'list_lag_s',
            _kinds.Number(0, 3600),
            "Longest lag of the platform's list of instances, seconds.",
        ),
        _policy_option(
            'command_s',
            'command_s',
            _kinds.Number(1, 600),
            'Time after which an unfinished command is given up, seconds.',
        ),
        _policy_option(
            'suspect_s',
            'suspect_s',
            _kinds.Number(0.1, 600),
            'Silence after which a peer counts as suspect, seconds.',
        ),
        _policy_option(
            'max_attempts',
            'max_attempts',
            _kinds.Whole(1, 100),
            'Attempts of one request.',
        ),
        _policy_option(
            'retry_share',
            'retry_share',
            _kinds.Number(0, 1),
            'Retries allowed as a share of first attempts.',
        ),
        _policy_option(
            'step_timeout_s',
            'step_timeout_s',
            _kinds.Number(0.05, 600),
            'Longest wait for one step of an endpoint, seconds.',
        ),
        _policy_option(
            'order_timeout_s',
            'order_timeout_s',
            _kinds.Number(0.05, 600),
            "Longest wait for a service's answer, seconds.",
        ),
        _policy_option(
            'balancer_lag_s',
            'balancer_lag_s',
            _kinds.Number(0, 3600),
            'Time for which a stopping instance still takes new work, '
            "since the platform's balancer sends it on, seconds.",
        ),
        _policy_option(
            'drain_s',
            'drain_s',
            _kinds.Number(0, 86400),
            'Longest duration of a planned stop, seconds.',
        ),
        _option(
            'placement',
            _kinds.Text(
                'home|independent|round_robin',
                'one of home, independent, round_robin',
            ),
            'Who decides about endpoints: one home instance for each '
            'model, or each instance by itself; `round_robin` is for '
            'comparison.',
            _POLICY_DEFAULTS.placement,
        ),
    ),
)


def _create_rank_section(rank):
    defaults = _POLICY_DEFAULTS.ranks[rank]

    def option(field, kind, meaning):
        default = f'{getattr(defaults, field):g}'
        return _option(field, kind, meaning, default)

    return Section(
        f'rank {rank.name.lower()}',
        (),
        False,
        f'The {rank.name.lower()} rank.',
        (
            option(
                'floor',
                _kinds.Number(0, 1),
                'Share of the slots, weighed by their speed, that the rank '
                'keeps while it has work.',
            ),
            option(
                'max_wait_s',
                _kinds.Number(0, 86400),
                'Longest expected wait for the first token; what would wait '
                'longer is refused, seconds.',
            ),
            option(
                'max_queued',
                _kinds.Whole(0, 1000000),
                'Largest number of queued requests.',
            ),
            option(
                'deadline_s',
                _kinds.Number(0.1, 86400),
                'Time allowed to a whole answer where the caller names '
                'none, seconds.',
            ),
        ),
    )


_MODEL = Section(
    'model',
    ('NAME',),
    False,
    'A language model.',
    (
        _option('layers', _kinds.Whole(1, 10000), 'Number of layers.'),
        _option('version', _kinds.NAME, 'Version that new answers use.', '1'),
    ),
)

_ENDPOINT = Section(
    'endpoint',
    ('NAME',),
    False,
    'A model engine.',
    (
        _option('address', _kinds.ADDRESS, 'Where it answers.'),
        _option('data_centre', _kinds.NAME, 'Where it runs.'),
        _option('accelerator', _kinds.NAME, 'Kind of accelerator.'),
        _option('model', _kinds.NAME, 'Model that it holds.'),
        _option('version', _kinds.NAME, 'Version of the model.', '1'),
        _option(
            'first_layer', _kinds.Whole(0, 9999), 'First layer that it holds.'
        ),
        _option(
            'end_layer',
            _kinds.Whole(1, 10000),
            'The layer after the last one that it holds.',
        ),
        _option(
            'max_streams',
            _kinds.Whole(1, 65536),
            'Largest number of streams that it batches.',
        ),
        _option(
            'deduplicates',
            _kinds.FLAG,
            'Whether it recognises a repeated step.',
            'no',
        ),
        _option(
            'checks_fencing',
            _kinds.FLAG,
            'Whether it refuses orders with an old fencing number.',
            'no',
        ),
        _option(
            'checks_orders_sender',
            _kinds.FLAG,
            'Whether it checks who gives it orders.',
            'no',
        ),
    ),
)

_SERVICE = Section(
    'service',
    ('NAME',),
    False,
    'A plain service beside the model engines.',
    (
        _option('addresses', _kinds.ADDRESSES, 'Where its workers answer.'),
        _option(
            'repeatable',
            _kinds.FLAG,
            'Whether a call may be sent twice.',
            'no',
        ),
        _option(
            'deduplicates',
            _kinds.FLAG,
            'Whether it recognises a repeated idempotency key.',
            'no',
        ),
        _option(
            'lookup',
            _kinds.FLAG,
            'Whether it can be asked for the result of a key.',
            'no',
        ),
        _option(
            'settle_s',
            _kinds.Number(5, 3600),
            'Time after which a call that it has not seen will not be run '
            'any more, seconds.',
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
        _option(
            'weight',
            _kinds.Number(0.001, 1000),
            'Share relative to the others of the same rank.',
            '1',
        ),
    ),
)

_KEY = Section(
    'key',
    ('NAME',),
    False,
    "A caller's key.",
    (
        _option('organisation', _kinds.NAME, 'Whose work it is.'),
        _option('rank', _kinds.Choice(Rank), 'Rank of its work.'),
        _option('sha256', _kinds.DIGEST, 'Digest of the key.', field='digest'),
    ),
)

_OPERATOR = Section(
    'operator',
    ('NAME',),
    False,
    "An operator's key.",
    (
        _option('role', _kinds.Choice(_records.Role), 'What it may do.'),
        _option('sha256', _kinds.DIGEST, 'Digest of the key.', field='digest'),
    ),
)

_LINK = Section(
    'link',
    ('A', 'B'),
    False,
    'The network between two data centres, alike both ways.',
    (
        _option(
            'latency_us',
            _kinds.Number(0, 10000000, 1000000),
            'One way, microseconds.',
            field='latency_s',
        ),
        _option(
            'mbit_per_s',
            _kinds.Number(0.001, 10000000),
            'Bandwidth, megabits a second.',
        ),
    ),
)

_PEER = Section(
    'peer',
    ('NAME',),
    False,
    "Another entry instance, known before the platform's list is.",
    (
        _option('address', _kinds.ADDRESS, 'Its `peer_address`.'),
        _option('data_centre', _kinds.NAME, 'Where it runs.'),
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
    """Return the heading of a section without brackets."""
    return ' '.join((section.kind, *section.words))


def find_section(heading):
    """Return the section of a heading and the names in it.

    Returns
    -------
    Section or None
    tuple of str
    """
    words = tuple(heading.split())
    for section in SECTIONS:
        kind = tuple(section.kind.split())
        names = words[len(kind) :]
        if words[: len(kind)] == kind and len(names) == len(section.words):
            return section, names
    return None, ()
