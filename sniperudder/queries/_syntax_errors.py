"""Conversion of parser errors to readable syntax errors."""

import lark

from sniperudder import errors


def join_alternatives(choices):
    """Join alternatives with commas and "or".

    Examples
    --------
    >>> join_alternatives(['up', 'down', 'gone'])
    'up, down or gone'
    """
    *first, last = choices
    return f'{", ".join(first)} or {last}' if first else last


def create_syntax_error(text, error, labels):
    """Convert an error of lark to a grammar error.

    Parameters
    ----------
    text : str
        The parsed text.
    error : lark.UnexpectedInput
    labels : dict of str to str
        Descriptions of the grammar's terminals. A terminal without a
        description is treated as a keyword.

    Returns
    -------
    GrammarError
    """
    expected = _describe_expected(error, labels)
    at_end = isinstance(error, lark.UnexpectedToken) and (
        error.token.type == '$END'
    )
    if at_end:
        *_, last = text.split('\n')
        line, column = text.count('\n') + 1, len(last.rstrip()) + 1
        found = 'the end'
    else:
        line, column = error.line, error.column
        found = _quote_token(text, line, column)
    return errors.GrammarError(
        f'found {found}, expected {expected}', line, column
    )


def _describe_expected(error, labels):
    if isinstance(error, lark.UnexpectedToken):
        names = error.accepts or error.expected
    else:
        names = error.allowed or set()
    descriptions = {labels.get(name, f'"{name.lower()}"') for name in names}
    return (
        join_alternatives(sorted(descriptions))
        if descriptions
        else 'something else'
    )


def _quote_token(text, line, column):
    rest = text.split('\n')[line - 1][column - 1 :]
    return f'"{rest.split()[0]}"' if rest.split() else 'the end of the line'
