"""From the sections of a file to typed records."""

import dataclasses
import re

from sniperudder.settings import _kinds
from sniperudder.settings import _records
from sniperudder.settings import _sections
from sniperudder import tables


@dataclasses.dataclass(slots=True)
class Reading:
    """What was read so far.

    Attributes
    ----------
    settings : Settings
    mistakes : list of Mistake
    broken : set of tuple of str
        Kind and name of sections that could not be read: what refers
        to them is no further mistake.
    """

    settings: _records.Settings
    mistakes: list
    broken: set


def read_sections(sections):
    """Read all sections into records.

    Parameters
    ----------
    sections : dict of str to dict of str to str

    Returns
    -------
    Reading
    """
    reading = Reading(_records.Settings(), [], set())
    for heading, texts in sections.items():
        _read_section(reading, heading, texts)
    for section in _sections.SECTIONS:
        if section.required and section.kind not in sections:
            reading.mistakes.append(
                _records.Mistake(section.kind, '', 'nothing', 'one section')
            )
    return reading


def _read_section(reading, heading, texts):
    section, names = _sections.find_section(heading)
    if section is None:
        allowed = ', '.join(
            f'[{_sections.describe_heading(item)}]'
            for item in _sections.SECTIONS
        )
        reading.mistakes.append(
            _records.Mistake(heading, '', 'an unknown section', allowed)
        )
        return
    mistakes = _check_names(heading, names)
    values = _read_values(section, heading, texts, mistakes)
    reading.mistakes += mistakes
    if mistakes:
        reading.broken.add((section.kind, ' '.join(names)))
        return
    _place_record(reading, section.kind, names, values)


def _check_names(heading, names):
    mistakes = []
    for name in names:
        if not re.fullmatch(_kinds.NAME_PATTERN, name, re.ASCII):
            allowed = _kinds.NAME.describe()
            mistakes.append(_records.Mistake(heading, '', repr(name), allowed))
    return mistakes


def _read_values(section, heading, texts, mistakes):
    """Return values by field; append what is wrong to the mistakes."""
    options = {option.key: option for option in section.options}
    for key in texts:
        if key not in options:
            allowed = 'one of ' + ', '.join(options)
            mistakes.append(
                _records.Mistake(heading, key, 'an unknown key', allowed)
            )
    values = {}
    for option in section.options:
        text = texts.get(option.key, option.default)
        if text is None:
            continue
        if text is _sections.REQUIRED:
            mistakes.append(
                _records.Mistake(
                    heading, option.key, 'nothing', option.kind.describe()
                )
            )
            continue
        try:
            values[option.field] = option.kind.read(text)
        except ValueError:
            mistakes.append(
                _records.Mistake(
                    heading,
                    option.key,
                    _show_text(option, text),
                    option.kind.describe(),
                )
            )
    return values


def _show_text(option, text):
    # A key pasted in place of its digest must not be shown.
    if isinstance(option.kind, _kinds.Digest):
        return f'{len(text)} characters'
    if len(text) > 60:
        return repr(text[:60]) + '...'
    return repr(text)


# Classes of the sections that are named, and where each is kept.
_NAMED = {
    'model': (tables.Model, 'models'),
    'endpoint': (tables.Endpoint, 'endpoints'),
    'service': (tables.Service, 'services'),
    'organisation': (tables.Organisation, 'organisations'),
    'key': (_records.Key, 'keys'),
    'operator': (_records.Operator, 'operators'),
    'peer': (_records.Peer, 'peers'),
}

_RANKS = {f'rank {rank.name.lower()}': rank for rank in tables.RANKS}


def _place_record(reading, kind, names, values):
    settings = reading.settings
    if kind in _NAMED:
        create, place = _NAMED[kind]
        record = create(name=names[0], **values)
        getattr(settings, place)[record.name] = record
    elif kind in _RANKS:
        settings.policy.ranks[_RANKS[kind]] = tables.RankPolicy(**values)
    elif kind == 'link':
        link = _records.Link(*names, **values)
        settings.links[names] = link
    elif kind == 'instance':
        settings.instance = _records.InstanceSettings(
            **{'seed': None, 'peer_key_file': '', 'peer_key_env': ''} | values
        )
    elif kind == 'platform':
        settings.platform = _records.PlatformSettings(**values)
        settings.policy.platform_timeout_s = values['timeout_s']
    elif kind == 'policy':
        for field, value in values.items():
            setattr(settings.policy, field, value)
