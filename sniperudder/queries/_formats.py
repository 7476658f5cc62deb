"""Formatting of queries and commands as parsable text."""

from sniperudder import intents
from sniperudder.queries import _commands
from sniperudder.queries import _records


def format_query(query):
    """Return a text that parses to the given query.

    Examples
    --------
    >>> from sniperudder import queries
    >>> format_query(queries.parse_query('count requests by rank'))
    'show count() of requests by rank'
    """
    items = query.columns + tuple(a.label for a in query.aggregates)
    parts = [f'show {", ".join(items)} of {query.table}']
    if query.groups:
        parts.append(f'by {", ".join(query.groups)}')
    if query.where is not None:
        parts.append(f'where {_format_condition(query.where)}')
    if query.since_s is not None:
        parts.append(f'since {_format_number(query.since_s)}s')
    if query.order:
        sort_items = (
            f'{o.column} {"desc" if o.descending else "asc"}'
            for o in query.order
        )
        parts.append(f'order by {", ".join(sort_items)}')
    if query.limit is not None:
        parts.append(f'limit {query.limit}')
    return ' '.join(parts)


def _format_number(number):
    # Fixed-point notation, because the grammar has no exponents.
    return f'{number:.9f}'.rstrip('0').rstrip('.')


def _format_value(value):
    if isinstance(value, bool):
        return 'true' if value else 'false'
    if isinstance(value, str):
        return f'"{value}"'
    return _format_number(value)


def _format_condition(condition):
    match condition:
        case _records.Comparison(column, operator, value):
            return f'{column} {operator} {_format_value(value)}'
        case _records.Range(column, low, high):
            return f'{column} in {_format_value(low)}..{_format_value(high)}'
        case _records.Membership(column, values):
            return f'{column} in ({", ".join(map(_format_value, values))})'
        case _records.Match(column, pattern):
            return f'{column} ~ "{pattern}"'
        case _records.Negation(inner):
            return f'not ({_format_condition(inner)})'
        case _records.Conjunction(conditions):
            return _join_conditions('and', conditions)
        case _records.Disjunction(conditions):
            return _join_conditions('or', conditions)


def _join_conditions(keyword, conditions):
    return f' {keyword} '.join(f'({_format_condition(c)})' for c in conditions)


def format_command(command):
    """Return a text that parses to the given command.

    Examples
    --------
    >>> format_command(_commands.VerifyCommand('7f3c'))
    'verify "7f3c"'
    """
    match command:
        case _commands.SubmitIntent(intent, force):
            return f'{format_intent(intent)}{" force" if force else ""}'
        case _commands.PlanIntent(intent):
            return f'plan {format_intent(intent)}'
        case _commands.VerifyCommand(command_id):
            return f'verify "{command_id}"'
        case _commands.WatchCommand(command_id):
            return f'watch "{command_id}"'


def format_intent(intent):
    """Return the text of the command that submits an intent.

    Examples
    --------
    >>> format_intent(intents.Withdraw('engine-1'))
    'withdraw endpoint "engine-1"'
    """
    match intent:
        case intents.Withdraw(endpoint=name):
            return f'withdraw endpoint "{name}"'
        case intents.Return(endpoint=name):
            return f'return endpoint "{name}"'
        case intents.StopInstance(instance=name):
            return f'stop instance "{name}"'
        case intents.Shed():
            subject = _format_shed_subject(intent)
            return f'shed {subject} {_format_share(intent.share)}'
        case intents.Allow(endpoint=name, ranks=ranks):
            rank_names = ', '.join(rank.name.lower() for rank in ranks)
            return f'allow endpoint "{name}" ranks {rank_names}'
        case intents.SetFloor(rank=rank, share=share):
            return f'floor rank {rank.name.lower()} {_format_share(share)}'
        case intents.SetWeight(organisation=name, weight=weight):
            number = _format_number(weight)
            return f'weight organisation "{name}" {number}'
    raise TypeError(f'no operator command for this intent: {intent!r}')


def _format_shed_subject(shed):
    if shed.rank is not None:
        return f'rank {shed.rank.name.lower()}'
    if shed.organisation:
        return f'organisation "{shed.organisation}"'
    return f'model "{shed.model}"'


def _format_share(share):
    return f'{_format_number(share * 100)}%'
