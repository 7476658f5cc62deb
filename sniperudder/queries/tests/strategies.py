"""Hypothesis strategies for queries and commands."""

from hypothesis import strategies as st

from sniperudder import intents
from sniperudder import queries
from sniperudder.tables import RANKS

_NAMES = st.text(
    st.characters(exclude_characters='"\n\r', exclude_categories=['C', 'Z']),
    min_size=1,
    max_size=8,
)
_SHARES = st.integers(0, 100).map(lambda share: share / 100)
_VALUES = {
    queries.ColumnKind.TEXT: lambda column: _NAMES,
    queries.ColumnKind.CHOICE: lambda column: st.sampled_from(column.choices),
    queries.ColumnKind.INTEGER: lambda column: st.integers(-9, 9999),
    queries.ColumnKind.NUMBER: lambda column: st.integers(0, 99).map(float),
    queries.ColumnKind.SECONDS: lambda column: st.integers(0, 9999).map(
        lambda ms: ms / 1000
    ),
    queries.ColumnKind.FLAG: lambda column: st.booleans(),
}


@st.composite
def _conditions_on_column(draw, columns):
    column = draw(st.sampled_from(list(columns.values())))
    values = _VALUES[column.kind](column)
    options = [
        st.builds(
            queries.Comparison,
            st.just(column.name),
            st.sampled_from(['=', '!=', '<', '<=', '>', '>=']),
            values,
        ),
        st.builds(queries.Range, st.just(column.name), values, values),
        st.builds(
            queries.Membership,
            st.just(column.name),
            st.lists(values, min_size=1, max_size=3).map(tuple),
        ),
    ]
    if column.kind is queries.ColumnKind.TEXT:
        options.append(st.builds(queries.Match, st.just(column.name), _NAMES))
    return draw(st.one_of(options))


def _compound_conditions(inner):
    several = st.lists(inner, min_size=2, max_size=3).map(tuple)
    return st.one_of(
        st.builds(queries.Negation, inner),
        st.builds(queries.Conjunction, several),
        st.builds(queries.Disjunction, several),
    )


def _subsets(names, min_size):
    return st.lists(
        st.sampled_from(names), min_size=min_size, max_size=3, unique=True
    ).map(tuple)


@st.composite
def create_queries(draw):
    """Generate a query that is valid for its table."""
    table = draw(st.sampled_from(list(queries.TABLES)))
    columns = queries.get_columns(table)
    names = list(columns)
    fields = {'table': table}
    if draw(st.booleans()):
        numeric = [n for n, c in columns.items() if n.endswith('_s')]
        functions = ['sum', 'min', 'max', 'mean', 'p50', 'p99.9']
        measured = [
            queries.Aggregate(function, name)
            for function in functions
            for name in numeric
        ]
        options = [queries.Aggregate('count'), *measured]
        fields['aggregates'] = draw(_subsets(options, 1))
        fields['groups'] = draw(_subsets(names, 0))
    else:
        fields['columns'] = draw(_subsets(names, 1))
    condition = st.recursive(
        _conditions_on_column(columns), _compound_conditions, max_leaves=4
    )
    fields['where'] = draw(st.none() | condition)
    if 'age_s' in columns:
        fields['since_s'] = draw(st.none() | st.integers(0, 99).map(float))
    fields['limit'] = draw(st.none() | st.integers(1, 99))
    labels = queries.Query(**fields).labels
    fields['order'] = tuple(
        queries.Ordering(label, draw(st.booleans()))
        for label in draw(_subsets(labels, 0))
    )
    return queries.Query(**fields)


_RANK = st.sampled_from(RANKS)
_INTENTS = st.one_of(
    st.builds(intents.Withdraw, _NAMES),
    st.builds(intents.Return, _NAMES),
    st.builds(intents.StopInstance, _NAMES),
    st.builds(intents.Shed, _SHARES, rank=_RANK),
    st.builds(intents.Shed, _SHARES, organisation=_NAMES),
    st.builds(intents.Shed, _SHARES, model=_NAMES),
    st.builds(
        intents.Allow,
        _NAMES,
        st.sets(_RANK, min_size=1).map(lambda ranks: tuple(sorted(ranks))),
    ),
    st.builds(intents.SetFloor, _RANK, _SHARES),
    st.builds(
        intents.SetWeight, _NAMES, st.integers(1, 99).map(lambda n: n / 4)
    ),
)
COMMANDS = st.one_of(
    st.builds(queries.SubmitIntent, _INTENTS),
    st.builds(
        queries.SubmitIntent,
        st.builds(intents.Withdraw, _NAMES, st.just(True)),
        st.just(True),
    ),
    st.builds(queries.PlanIntent, _INTENTS),
    st.builds(queries.VerifyCommand, _NAMES),
    st.builds(queries.WatchCommand, _NAMES),
)
