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
    count = len(result.rows)
    lines = [
        render_grid(result.columns, result.rows),
        f'({count} row{"" if count == 1 else "s"})',
    ]
    if result.detail:
        lines.append(f'! {clean_text(result.detail)}')
    return '\n'.join(lines)


def render_grid(columns, rows):
    """Return rows below the names of their columns, aligned.

    Parameters
    ----------
    columns : sequence of str
    rows : sequence of sequence

    Returns
    -------
    str

    Examples
    --------
    >>> print(render_grid(['name', 'wait_s'], [['gpu-1', 0.25]]))
    name   wait_s
    gpu-1   0.250
    """
    cells = [[_format_cell(value) for value in row] for row in rows]
    lines = [[clean_text(name) for name in columns], *cells]
    widths = [max(map(len, column)) for column in zip(*lines)]
    numeric = [
        any(_is_number(row[i]) for row in rows) for i in range(len(columns))
    ]
    return '\n'.join(_format_line(line, widths, numeric) for line in lines)


def clean_text(text):
    """Drop control characters: what is sent must not steer a terminal.

    Examples
    --------
    >>> clean_text("up\\x1b[2J")
    'up[2J'
    """
    return ''.join(char for char in text if char.isprintable())


def _is_number(value):
    return isinstance(value, int | float) and not isinstance(value, bool)


def _format_cell(value):
    if value is None:
        return '-'
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    if isinstance(value, float):
        return f'{value:.3f}'
    return clean_text(str(value))


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
