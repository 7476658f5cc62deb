"""Tables of text for terminals."""


def render_table(columns, rows):
    """Return a table with columns side by side.

    Parameters
    ----------
    columns : sequence of str
    rows : iterable of sequence
        Values in the order of the columns.

    Returns
    -------
    str

    Examples
    --------
    >>> print(render_table(['name', 'streams'], [['gpu-1', 7]]))
    name   streams
    gpu-1  7
    """
    cells = [[_show_value(value) for value in row] for row in rows]
    lines = [list(columns), *cells]
    widths = [max(map(len, column)) for column in zip(*lines)]
    return '\n'.join(_render_line(line, widths) for line in lines)


def _show_value(value):
    if value is None:
        return '-'
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    return clean_text(str(value))


def clean_text(text):
    """Drop control characters: what is sent must not steer a terminal."""
    return ''.join(char for char in text if char.isprintable())


def _render_line(cells, widths):
    padded = (cell.ljust(width) for cell, width in zip(cells, widths))
    return '  '.join(padded).rstrip()
