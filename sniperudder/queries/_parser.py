"""Parsing of queries and commands into typed records."""

import functools
import re

import lark

from sniperudder import errors
from sniperudder import intents
from sniperudder.queries import _commands
from sniperudder.queries import _grammar
from sniperudder.queries import _problems
from sniperudder.queries import _records
from sniperudder.queries import _resolution
from sniperudder.tables import Rank

# Levels of parentheses and of "not"; a hundredth of what people write
# would do, and the interpreter follows a thousand calls.
_MAX_DEPTH = 200

# Quoted text, and what opens or closes a level.
_NESTING = re.compile(r'"[^"\n]*"|[()]|\bnot\b(?![\w.-])', re.IGNORECASE)


def parse_query(text):
    """Return the query that a text stands for.

    Parameters
    ----------
    text : str

    Returns
    -------
    Query

    Raises
    ------
    SyntaxProblem
        If the text does not follow the grammar, or names a table,
        column or value that does not exist.

    Examples
    --------
    >>> parse_query('count requests by rank').labels
    ('rank', 'count()')
    """
    return _resolution.resolve_query(_parse(text, 'query'))


def parse_command(text):
    """Return the command that a text stands for.

    Parameters
    ----------
    text : str

    Returns
    -------
    Command

    Raises
    ------
    SyntaxProblem
        If the text does not follow the grammar.

    Examples
    --------
    >>> parse_command('shed rank least 50%').intent.share
    0.5
    """
    return _parse(text, 'command')


def _parse(text, start):
    _check_depth(text)
    try:
        tree = _create_parser().parse(text, start=start)
    except lark.UnexpectedInput as error:
        raise _problems.create_problem(text, error, _grammar.LABELS) from None
    try:
        return _Builder().transform(tree)
    except lark.exceptions.VisitError as error:
        raise error.orig_exc from None


def _check_depth(text):
    """Refuse nesting that the resolution could not follow."""
    depth = 0
    for found in _NESTING.finditer(text):
        word = found.group()
        if word == ')':
            depth = max(0, depth - 1)
        elif not word.startswith('"'):
            depth += 1
        if depth > _MAX_DEPTH:
            line = text.count('\n', 0, found.start()) + 1
            column = found.start() - text.rfind('\n', 0, found.start())
            raise errors.SyntaxProblem(
                f'found more than {_MAX_DEPTH} levels, expected fewer',
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


def _read_share(token):
    share = round(float(token[:-1]) / 100, 9)
    if share > 1:
        raise errors.SyntaxProblem(
            f'found {token}, expected at most 100%', token.line, token.column
        )
    return share


def _read_rank(token):
    return Rank[token.upper()]


@lark.v_args(inline=True)
class _Builder(lark.Transformer):
    """Makes records; names and values stay tokens in queries."""

    # Queries.

    def show_table(self, table, *clauses):
        return _resolution.Draft(table, (), clauses)

    def show_all(self, _all, table, *clauses):
        return _resolution.Draft(table, (), clauses, whole=True)

    def show_items(self, items, table, *clauses):
        return _resolution.Draft(table, items, clauses)

    def count_rows(self, table, *clauses):
        count = _resolution.DraftAggregate(table.update(value='count'), None)
        return _resolution.Draft(table, (count,), clauses)

    def items(self, *items):
        return items

    def plain_item(self, name):
        return name

    def aggregate_item(self, function, column):
        return _resolution.DraftAggregate(function, column)

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
        return intents.Shed(_read_share(share), rank=_read_rank(rank))

    def shed_organisation(self, name, share):
        return intents.Shed(_read_share(share), organisation=name)

    def shed_model(self, name, share):
        return intents.Shed(_read_share(share), model=name)

    def allow(self, name, ranks):
        return intents.Allow(name, ranks)

    def floor(self, rank, share):
        return intents.SetFloor(_read_rank(rank), _read_share(share))

    def weight(self, name, number):
        if float(number) <= 0:
            raise errors.SyntaxProblem(
                f'found {number}, expected a weight above 0',
                number.line,
                number.column,
            )
        return intents.SetWeight(name, float(number))

    def ranks(self, *tokens):
        return tuple(sorted({_read_rank(token) for token in tokens}))

    def name(self, token):
        if token == '""':
            raise errors.SyntaxProblem(
                'found an empty name', token.line, token.column
            )
        return str(_unquote(token))

    def number(self, token):
        return token
