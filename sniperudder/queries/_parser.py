"""Parser of queries and commands into typed records."""

import functools
import re

import lark

from sniperudder import errors
from sniperudder import intents
from sniperudder.queries import _commands
from sniperudder.queries import _grammar
from sniperudder.queries import _records
from sniperudder.queries import _resolution
from sniperudder.queries import _syntax_errors
from sniperudder.tables import Rank

# Limit on nested parentheses and "not" operators, so that the recursive
# resolution stays below the interpreter's recursion limit, 1000 calls.
# Queries written by hand need about a hundredth of it.
_MAX_NESTING_LEVELS = 200

# Quoted strings (skipped) and tokens that open or close a nesting level.
_NESTING_TOKEN = re.compile(r'"[^"\n]*"|[()]|\bnot\b(?![\w.-])', re.IGNORECASE)


def parse_query(text):
    """Parse a query and check it against the columns of its table.

    Parameters
    ----------
    text : str

    Returns
    -------
    Query

    Raises
    ------
    GrammarError
        If the text does not match the grammar or refers to an unknown
        table, column or value.

    Examples
    --------
    >>> parse_query('count requests by rank').labels
    ('rank', 'count()')
    """
    return _resolution.resolve_query(_parse(text, 'query'))


def parse_command(text):
    """Parse a command.

    Parameters
    ----------
    text : str

    Returns
    -------
    Command

    Raises
    ------
    GrammarError
        If the text does not match the grammar.

    Examples
    --------
    >>> parse_command('shed rank least 50%').intent.share
    0.5
    """
    return _parse(text, 'command')


def _parse(text, start):
    _check_nesting(text)
    try:
        tree = _create_parser().parse(text, start=start)
    except lark.UnexpectedInput as error:
        raise _syntax_errors.create_syntax_error(
            text, error, _grammar.TERMINAL_LABELS
        ) from None
    try:
        return _RecordTransformer().transform(tree)
    except lark.exceptions.VisitError as error:
        raise error.orig_exc from None


def _check_nesting(text):
    """Reject nesting that could exceed the recursion limit."""
    depth = 0
    for token_match in _NESTING_TOKEN.finditer(text):
        token_text = token_match.group()
        if token_text == ')':
            depth = max(0, depth - 1)
        elif not token_text.startswith('"'):
            depth += 1
        if depth > _MAX_NESTING_LEVELS:
            line = text.count('\n', 0, token_match.start()) + 1
            column = token_match.start() - text.rfind(
                '\n', 0, token_match.start()
            )
            raise errors.GrammarError(
                f'found more than {_MAX_NESTING_LEVELS} levels, '
                'expected fewer',
                line,
                column,
            )


@functools.cache
def _create_parser():
    return lark.Lark(
        _grammar.GRAMMAR,
        parser='lalr',
        start=['query', 'command'],
        maybe_placeholders=True,
    )


def _unquote(token):
    if token.type == 'STRING':
        return token.update(value=token[1:-1])
    return token


def _parse_share(token):
    share = round(float(token[:-1]) / 100, 9)
    if share > 1:
        raise errors.GrammarError(
            f'found {token}, expected at most 100%', token.line, token.column
        )
    return share


def _parse_rank(token):
    return Rank[token.upper()]


@lark.v_args(inline=True)
class _RecordTransformer(lark.Transformer):
    """Converts parse trees to records.

    Names and values in queries remain tokens until they are resolved.
    """

    # Queries.

    def show_table(self, table, *clauses):
        return _resolution.UnresolvedQuery(table, (), clauses)

    def show_all(self, _all, table, *clauses):
        return _resolution.UnresolvedQuery(
            table, (), clauses, all_columns=True
        )

    def show_items(self, items, table, *clauses):
        return _resolution.UnresolvedQuery(table, items, clauses)

    def count_rows(self, table, *clauses):
        count = _resolution.UnresolvedAggregate(
            table.update(value='count'), None
        )
        return _resolution.UnresolvedQuery(table, (count,), clauses)

    def items(self, *items):
        return items

    def plain_item(self, name):
        return name

    def aggregate_item(self, function, column):
        return _resolution.UnresolvedAggregate(function, column)

    def by(self, *names):
        return _resolution.Clause('by', names)

    def where(self, condition):
        return _resolution.Clause('where', condition)

    def since(self, duration):
        return _resolution.Clause('since', duration)

    def order(self, *orderings):
        return _resolution.Clause('order', orderings)

    def limit(self, count):
        return _resolution.Clause('limit', count)

    def ordering(self, item, direction):
        return (item, direction or 'asc')

    def direction(self, token):
        return token.lower()

    def any_of(self, *conditions):
        if len(conditions) == 1:
            return conditions[0]
        return _records.Disjunction(conditions)

    def all_of(self, *conditions):
        if len(conditions) == 1:
            return conditions[0]
        return _records.Conjunction(conditions)

    def negate(self, _keyword, condition):
        return _records.Negation(condition)

    def compare(self, column, operator, value):
        return _records.Comparison(column, str(operator), value)

    def between(self, column, low, high):
        return _records.Range(column, low, high)

    def one_of(self, column, *values):
        return _records.Membership(column, values)

    def match(self, column, pattern):
        return _records.Match(column, _unquote(pattern))

    def value(self, token):
        return token

    # Commands.

    def submit(self, intent, force):
        if force and isinstance(intent, intents.Withdraw):
            intent = intents.Withdraw(intent.endpoint, force=True)
        return _commands.SubmitIntent(intent, force is not None)

    def plan(self, intent):
        return _commands.PlanIntent(intent)

    def verify(self, name):
        return _commands.VerifyCommand(name)

    def watch(self, name):
        return _commands.WatchCommand(name)

    def withdraw(self, name):
        return intents.Withdraw(name)

    def give_back(self, name):
        return intents.Return(name)

    def stop(self, name):
        return intents.StopInstance(name)

    def shed_rank(self, rank, share):
        return intents.Shed(_parse_share(share), rank=_parse_rank(rank))

    def shed_organisation(self, name, share):
        return intents.Shed(_parse_share(share), organisation=name)

    def shed_model(self, name, share):
        return intents.Shed(_parse_share(share), model=name)

    def allow(self, name, ranks):
        return intents.Allow(name, ranks)

    def floor(self, rank, share):
        return intents.SetFloor(_parse_rank(rank), _parse_share(share))

    def weight(self, name, number):
        if float(number) <= 0:
            raise errors.GrammarError(
                f'found {number}, expected a weight above 0',
                number.line,
                number.column,
            )
        return intents.SetWeight(name, float(number))

    def ranks(self, *tokens):
        return tuple(sorted({_parse_rank(token) for token in tokens}))

    def name(self, token):
        if token == '""':
            raise errors.GrammarError(
                'found an empty name', token.line, token.column
            )
        return str(_unquote(token))

    def number(self, token):
        return token
