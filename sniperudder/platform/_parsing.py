"""Parsing of a large JSON object in steps.

The lists directly within the object are parsed entry by entry. An entry whose
text is known from an earlier document isn't parsed again.
"""

import json
import re

from sniperudder.platform import _documents

_DECODER = json.JSONDecoder()
_SPACE = re.compile(r'[ \t\n\r]*')


class Entry:
    """An entry of a list.

    Attributes
    ----------
    text : str
        The entry as JSON.
    value : object
        The parsed entry; None once it has been decoded.
    decoded : object or None
        Result of decoding; None before.
    """

    __slots__ = ('decoded', 'text', 'value')

    def __init__(self, text, value):
        self.text = text
        self.value = value
        self.decoded = None

    def decode(self, decode):
        """Return the decoded entry; ``decode`` is called at most once."""
        if self.decoded is None:
            self.decoded = decode(self.value)
            self.value = None
        return self.decoded


class Entries:
    """Entries of a list, in its order."""

    __slots__ = ('_entries', '_places')

    def __init__(self):
        self._entries = []
        self._places = {}

    def __iter__(self):
        return iter(self._entries)

    def add(self, entry):
        """Append an entry."""
        self._places[entry.text] = len(self._entries)
        self._entries.append(entry)

    def get(self, place):
        """Return the entry at a place; None beyond the last one."""
        return self._entries[place] if place < len(self._entries) else None

    def find(self, text):
        """Return the place of an entry with the given text, or None."""
        return self._places.get(text)


def parse_in_steps(data, known):
    """Parse a document that holds a JSON object, as `parse_object` does.

    Parameters
    ----------
    data : bytes
    known : dict of str to Entries
        Decoded entries of an earlier document, by the name of their field.
        They must be JSON objects.

    Yields
    ------
    None
        After each step; a step takes time in proportion to one entry, or to
        one value that is not a list.

    Returns
    -------
    dict of str to object
        Lists that are named in ``known`` as `Entries`.

    Raises
    ------
    DocumentError
        If the document is not JSON or not an object.
    """
    try:
        text = data.decode(json.detect_encoding(data), 'surrogatepass')
        return (yield from _parse_object(text, known))
    except (ValueError, RecursionError) as error:
        raise _documents.DocumentError(
            f'document is not valid JSON: {error}'
        ) from error


def _parse_object(text, known):
    value = {}
    position = _skip(text, 0)
    _expect(text, position, '{')
    position = _skip(text, position + 1)
    is_end = text.startswith('}', position)
    while not is_end:
        _expect(text, position, '"')
        name, position = _DECODER.raw_decode(text, position)
        position = _skip(text, position)
        _expect(text, position, ':')
        position = _skip(text, position + 1)
        if not text.startswith('[', position):
            value[name], position = _DECODER.raw_decode(text, position)
        elif name in known:
            entries = Entries()
            position = yield from _parse_entries(
                text, position, known[name], entries
            )
            value[name] = entries
        else:
            value[name] = []
            position = yield from _parse_list(text, position, value[name])
        yield
        position = _skip(text, position)
        is_end = text.startswith('}', position)
        if not is_end:
            _expect(text, position, ',')
            position = _skip(text, position + 1)
    if _skip(text, position + 1) != len(text):
        raise json.JSONDecodeError('Extra data', text, position + 1)
    return value


def _parse_entries(text, position, known, entries):
    """Parse a list into `Entries`; return the position after it."""
    # Place of the known entry that probably comes next.
    place = 0
    position = _skip(text, position + 1)
    is_end = text.startswith(']', position)
    while not is_end:
        entry = known.get(place)
        # An object ends with its last brace, whatever follows.
        if entry is not None and text.startswith(entry.text, position):
            position += len(entry.text)
        else:
            value, end = _DECODER.raw_decode(text, position)
            entry_text = text[position:end]
            known_place = known.find(entry_text)
            if known_place is None:
                entry = Entry(entry_text, value)
            else:
                entry = known.get(known_place)
                place = known_place
            position = end
        entries.add(entry)
        place += 1
        yield
        is_end, position = _skip_comma(text, position)
    return position + 1


def _parse_list(text, position, values):
    """Parse a list; return the position after it."""
    position = _skip(text, position + 1)
    is_end = text.startswith(']', position)
    while not is_end:
        value, position = _DECODER.raw_decode(text, position)
        values.append(value)
        yield
        is_end, position = _skip_comma(text, position)
    return position + 1


def _skip_comma(text, position):
    """Return whether a list ends, and the position of its end or next value.

    Parameters
    ----------
    text : str
    position : int
        Position after a value of the list.
    """
    position = _skip(text, position)
    if text.startswith(']', position):
        return True, position
    _expect(text, position, ',')
    return False, _skip(text, position + 1)


def _skip(text, position):
    """Return the position after white space."""
    return _SPACE.match(text, position).end()


def _expect(text, position, character):
    if not text.startswith(character, position):
        raise json.JSONDecodeError(f'Expecting {character!r}', text, position)
