"""Parsing an INI file into sections."""

import configparser
import re

from sniperudder.settings import _records

_HEADING = re.compile(r'\[(?P<heading>[^\]]+)\]')
_KEY_LINE = re.compile(r'(?P<key>[^\s=#][^=]*?)\s*=')


def parse_file(path):
    """Parse an INI file.

    Parameters
    ----------
    path : str

    Returns
    -------
    dict of str to dict of str to str
        Texts by section and key; empty if the file cannot be read.
    list of Mistake
    """
    try:
        with open(path, encoding='utf-8-sig') as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, 'strerror', None) or 'not valid UTF-8'
        found = f'{path}: {reason}'
        return {}, [_records.Mistake('', '', found, 'a readable INI file')]
    return parse_text(text)


def parse_text(text):
    """Parse the text of an INI file; see ``parse_file``.

    Examples
    --------
    >>> parse_text('[model m]\\nlayers = 4\\n')
    ({'model m': {'layers': '4'}}, [])
    """
    # Strict mode would stop at the first of several duplicates.
    parser = configparser.ConfigParser(
        interpolation=None,
        strict=False,
        delimiters=('=',),
        comment_prefixes=('#',),
        default_section='\0',
        empty_lines_in_values=False,
    )
    parser.optionxform = str
    mistakes = _find_duplicates(text)
    try:
        parser.read_string(text)
    except configparser.MissingSectionHeaderError as error:
        return {}, [_create_line_mistake(error.lineno, error.line)]
    except configparser.ParsingError as error:
        mistakes += [
            _create_line_mistake(number, line) for number, line in error.errors
        ]
        return {}, mistakes
    sections = {name: dict(parser[name]) for name in parser.sections()}
    return sections, mistakes


def _create_line_mistake(number, line):
    # The line may contain a secret pasted by accident: show at most its
    # first 12 characters.
    excerpt = line.strip().strip('\'"')[:12]
    found = f'line {number}: {excerpt!r}...'
    return _records.Mistake('', '', found, '[section] or key = value')


def _find_duplicates(text):
    mistakes = []
    seen = set()
    heading = ''
    for line in text.splitlines():
        match = _HEADING.match(line)
        if match:
            heading = match['heading']
            location = (heading, '')
        else:
            match = _KEY_LINE.match(line)
            if not match:
                continue
            location = (heading, match['key'])
        if location in seen:
            mistakes.append(
                _records.Mistake(*location, 'a duplicate', 'one occurrence')
            )
        seen.add(location)
    return mistakes
