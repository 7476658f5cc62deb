"""Rendering of results as aligned text or JSON."""

import json


def render_table(result):
    """Return a result as an aligned table.

    Numeric columns are right-aligned. The row count and the notes on an
    incomplete result follow the table.

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
        lines.append(f'! {remove_control_chars(result.detail)}')
    return '\n'.join(lines)


def render_grid(columns, rows):
    """Return column names and rows as an aligned grid.

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
    lines = [[remove_control_chars(name) for name in columns], *cells]
    widths = [max(map(len, column)) for column in zip(*lines)]
    numeric = [
        any(_is_number(row[i]) for row in rows) for i in range(len(columns))
    ]
    return '\n'.join(_format_line(line, widths, numeric) for line in lines)


def remove_control_chars(text):
    """Remove control characters from a text.

    Text received from other processes could otherwise send escape
    sequences to the operator's terminal.

    Examples
    --------
    >>> remove_control_chars("up\\x1b[2J")
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
    return remove_control_chars(str(value))


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
    return json.dumps(convert_to_dict(result))


def convert_to_dict(result):
    """Return the fields of a result as a JSON-serialisable dict."""
    return {
        'columns': list(result.columns),
        'rows': [list(row) for row in result.rows],
        'missing': list(result.missing),
        'detail': result.detail,
    }
