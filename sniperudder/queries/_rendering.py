"""Results as text for people and as JSON for programs."""

import json


def render_table(result):
    """Return a result as an aligned table.

    Numbers stand to the right. What is missing comes below.

    Parameters
    ----------
    result : Result

    Returns
    -------
    str

    Examples
    --------
    >>> from sniperudder import queries
    >>> print(render_table(queries.Result(('name', 'streams'), [('a', 12)])))
    name  streams
    a          12
    (1 row)
    """
    cells = [[_format_cell(value) for value in row] for row in result.rows]
    widths = [
        max([len(name), *(len(row[i]) for row in cells)])
        for i, name in enumerate(result.columns)
    ]
    numeric = [
        any(_is_number(row[i]) for row in result.rows)
        for i in range(len(result.columns))
    ]
    lines = [
        _format_line(row, widths, numeric) for row in [result.columns, *cells]
    ]
    count = len(result.rows)
    lines.append(f'({count} row{"" if count == 1 else "s"})')
    if result.detail:
        lines.append(f'! {result.detail}')
    return '\n'.join(lines)


def _is_number(value):
    return isinstance(value, int | float) and not isinstance(value, bool)


def _format_cell(value):
    if value is None:
        return '-'
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    if isinstance(value, float):
        return f'{value:.3f}'
    # A line break in a text must not break the table.
    return ' '.join(str(value).split())


def _format_line(cells, widths, numeric):
    padded = (
        cell.rjust(width) if right else cell.ljust(width)
        for cell, width, right in zip(cells, widths, numeric)
    )
    return '  '.join(padded).rstrip()


def render_json(result):
    """Return a result as one JSON object.

    Examples
    --------
    >>> from sniperudder import queries
    >>> render_json(queries.Result(('name',), [('a',)]))
    '{"columns": ["name"], "rows": [["a"]], "missing": [], "detail": ""}'
    """
    return json.dumps(list_fields(result))


def list_fields(result):
    """Return a result's fields as JSON names them."""
    return {
        'columns': list(result.columns),
        'rows': [list(row) for row in result.rows],
        'missing': list(result.missing),
        'detail': result.detail,
    }
