"""The lines of many logs that tell of one subject."""

import dataclasses
import json
import re

from sniperudder.logs import _events


@dataclasses.dataclass(frozen=True, slots=True)
class StoryLine:
    """One line of a log.

    Attributes
    ----------
    clock : int
        Lamport clock, microseconds.
    instance, event, subject : str
    fields : dict
        What else the line says.
    """

    clock: int
    instance: str
    event: str
    subject: str
    fields: dict


@dataclasses.dataclass(frozen=True, slots=True)
class Story:
    """The lines that tell of a subject, and how many were not read.

    Attributes
    ----------
    lines : tuple of StoryLine
        In the order of their clocks.
    skipped : int
        Lines that are no log lines, or were cut.
    """

    lines: tuple
    skipped: int


def read_story(lines, subject):
    """Collect what logs say of a request, endpoint, version or lease.

    Parameters
    ----------
    lines : iterable of str
        Of any number of logs, one after another; text before a line's
        JSON is passed over.
    subject : str
        A line counts if this is its subject, or stands in a field as a
        whole word.

    Returns
    -------
    Story

    Examples
    --------
    >>> story = read_story(
    ...     ['x {"message_type": "request:end", "subject": "r-1",'
    ...      ' "clock": 2, "instance": "a", "code": 300}', '{"cut'], 'r-1')
    >>> [(line.event, line.fields) for line in story.lines], story.skipped
    ([('request:end', {'code': 300})], 1)
    """
    mention = re.compile(rf'(?<![\w.-]){re.escape(subject)}(?![\w.-])')
    found, skipped = [], 0
    for text in lines:
        if not text.strip():
            continue
        line = _read_line(text)
        if line is None:
            skipped += 1
        elif line.subject == subject or mention.search(str(line.fields)):
            found.append(line)
    found.sort(key=lambda line: line.clock)
    return Story(tuple(found), skipped)


def render_story(story):
    """Return a story as text, with times from its first line.

    Returns
    -------
    str
    """
    rows = []
    for line in story.lines:
        since_s = (line.clock - story.lines[0].clock) / 1e6
        fields = ' '.join(
            f'{name}={json.dumps(value)}'
            for name, value in line.fields.items()
        )
        rows.append(
            f'{since_s:9.4f} {line.instance} {line.event} '
            f'{line.subject} {fields}'.rstrip()
        )
    if story.skipped:
        rows.append(f'({story.skipped} lines that are no log lines)')
    return '\n'.join(rows)


def _read_line(text):
    start = text.find('{')
    if start < 0:
        return None
    try:
        value = json.loads(text[start:])
        return StoryLine(
            clock=int(value['clock']),
            instance=str(value['instance']),
            event=str(value['message_type']),
            subject=str(value.get('subject', '')),
            fields={
                name: found
                for name, found in value.items()
                if name not in _events.COMMON_FIELDS
            },
        )
    except (AttributeError, KeyError, RecursionError, TypeError, ValueError):
        return None
