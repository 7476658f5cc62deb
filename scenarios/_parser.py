"""Parser of the scenario language."""

import functools

import lark

from scenarios import _grammar
from scenarios import _records
from sniperudder import errors
from sniperudder import queries

_DURATION_UNITS_S = (('ms', 0.001), ('s', 1.0), ('m', 60.0))
_DEFINITIONS = (
    _records.DefineEndpoint,
    _records.DefineService,
    _records.DefineEntry,
)


def parse_scenario(text, name='scenario'):
    """Parse the text of a scenario.

    Parameters
    ----------
    text : str
    name : str

    Returns
    -------
    Scenario

    Raises
    ------
    GrammarError
        With line and column, if a statement does not match the grammar
        or refers to an undefined process or organisation.

    Examples
    --------
    >>> parse_scenario('wait 500ms').lines[0].statement
    Wait(duration_s=0.5)
    """
    lines = []
    for number, line in enumerate(text.split('\n'), 1):
        content = line.split('#')[0].strip()
        if content:
            statement = _parse_line(line, number)
            lines.append(_records.Line(number, content, statement))
    scenario = _records.Scenario(name, tuple(lines))
    _check_names(scenario)
    return scenario


def _parse_line(line, number):
    try:
        tree = _create_parser().parse(line.split('#')[0])
        return _StatementBuilder().transform(tree)
    except lark.UnexpectedInput as error:
        syntax_error = queries.create_syntax_error(
            line, error, _grammar.LABELS
        )
    except lark.exceptions.VisitError as error:
        syntax_error = errors.GrammarError(str(error.orig_exc))
    raise errors.GrammarError(
        syntax_error.message, number, syntax_error.column
    )


@functools.cache
def _create_parser():
    return lark.Lark(_grammar.GRAMMAR, parser='lalr')


def _check_names(scenario):
    defined = {'platform'}
    organisations = set()
    for line in scenario.lines:
        statement = line.statement
        if isinstance(statement, _records.DefineOrganisation):
            organisations.add(statement.name)
        elif isinstance(statement, _DEFINITIONS):
            defined.add(statement.name)
        else:
            _check_line(line, defined, organisations)


def _check_line(line, defined, organisations):
    statement = line.statement
    names = [
        getattr(statement, field, '')
        for field in ('name', 'service', 'through', 'target')
    ]
    names += getattr(statement, 'names', ())
    if isinstance(statement, _records.DefineModel):
        names = []
    for name in filter(None, names):
        _check_defined(line, name, defined)
    organisation = getattr(statement, 'organisation', '')
    if organisation:
        _check_defined(line, organisation, organisations)


def _check_defined(line, name, defined):
    if name not in defined:
        expected = queries.join_alternatives(
            sorted(defined) or ['a definition']
        )
        raise errors.GrammarError(
            f'found "{name}", expected {expected}',
            line.number,
            max(line.text.find(name), 0) + 1,
        )


def _parse_duration(token):
    for unit, seconds in _DURATION_UNITS_S:
        if token.endswith(unit):
            return float(token[: -len(unit)]) * seconds
    raise ValueError(token)


def _parse_value(token):
    if token.type == 'TRUTH':
        return token == 'true'
    if token.type == 'STRING':
        return str(token[1:-1])
    if token.type == 'DURATION':
        return _parse_duration(token)
    return int(token) if token.type == 'INTEGER' else float(token)


@lark.v_args(inline=True)
class _StatementBuilder(lark.Transformer):
    """Builds a statement; options become pairs of field and value."""

    def step_s(self, duration):
        return ('step_s', _parse_duration(duration))

    def max_streams(self, count):
        return ('max_streams', int(count))

    def work_s(self, duration):
        return ('work_s', _parse_duration(duration))

    def weight(self, number):
        return ('weight', number)

    def rate(self, number):
        return ('rate', number)

    def tokens(self, count):
        return ('tokens', int(count))

    def key(self, text):
        return ('key', str(text[1:-1]))

    def prompt(self, text):
        return ('prompt', str(text[1:-1]))

    def through(self, name):
        return ('through', str(name))

    def deduplicates(self):
        return ('deduplicates', True)

    def lookup(self):
        return ('lookup', True)

    def number(self, token):
        return float(token)

    def value(self, token):
        return _parse_value(token)

    def model(self, name, layers):
        return _records.DefineModel(str(name), int(layers))

    def endpoint(self, name, first, end, *options):
        return _records.DefineEndpoint(
            str(name), int(first), int(end), **dict(options)
        )

    def service(self, name, *options):
        return _records.DefineService(str(name), **dict(options))

    def entry(self, name):
        return _records.DefineEntry(str(name))

    def organisation(self, name, *options):
        return _records.DefineOrganisation(str(name), **dict(options))

    def begin(self, *names):
        return _records.Start(tuple(str(name) for name in names if name))

    def kill(self, name):
        return _records.Kill(str(name))

    def freeze(self, name):
        return _records.Freeze(str(name))

    def thaw(self, name):
        return _records.Thaw(str(name))

    def stop(self, name):
        return _records.Stop(str(name))

    def cut(self, name, target):
        return _records.Cut(str(name), str(target))

    def join(self, name, target):
        return _records.Reconnect(str(name), str(target))

    def platform_down(self):
        return _records.SetFault('platform', 'hang_up', True)

    def platform_up(self):
        return _records.SetFault('platform')

    def platform_slow(self, duration):
        return _records.SetFault(
            'platform', 'slow_s', _parse_duration(duration)
        )

    def platform_loses(self, count):
        return _records.SetFault('platform', 'lose_answers', int(count))

    def fault(self, name, fault, value):
        return _records.SetFault(str(name), str(fault), value)

    def heal(self, name):
        return _records.SetFault(str(name))

    def command(self, text):
        return _records.Command(str(text[1:-1]))

    def withdraw(self, name):
        return _records.Command(f'withdraw endpoint {name}')

    def give_back(self, name):
        return _records.Command(f'return endpoint {name}')

    def send(self, count, rank, organisation, *options):
        return _records.Send(
            int(count), str(rank), str(organisation), **dict(options)
        )

    def order(self, count, organisation, service, *options):
        return _records.Order(
            int(count), str(service), str(organisation), **dict(options)
        )

    def wait(self, duration):
        return _records.Wait(_parse_duration(duration))

    def expect_done(self, duration):
        return _records.ExpectDone(_parse_duration(duration))

    def expect_in_force(self, duration):
        return _records.ExpectInForce(_parse_duration(duration))

    def expect_stopped(self, name, duration):
        return _records.ExpectStopped(str(name), _parse_duration(duration))

    def expect_ready(self, name, duration):
        return _records.ExpectReady(str(name), _parse_duration(duration))

    def expect_idle(self, name, duration):
        return _records.ExpectIdle(str(name), _parse_duration(duration))

    def expect_crashed(self, count):
        return _records.ExpectCrashed(int(count))

    def expect_answered(self, share, rank):
        return _records.ExpectAnswered(str(rank), float(share[:-1]) / 100)
