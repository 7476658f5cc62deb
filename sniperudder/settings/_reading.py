"""Converting parsed sections to typed records."""

import dataclasses
import re

from sniperudder.settings import _kinds
from sniperudder.settings import _records
from sniperudder.settings import _sections
from sniperudder import tables


@dataclasses.dataclass(slots=True)
class ReadResult:
    """Records and mistakes of the sections that were read.

    Attributes
    ----------
    settings : Settings
    mistakes : list of Mistake
    invalid_sections : set of tuple of str
        Kind and name of the sections with mistakes. References to them
        are not reported as further mistakes.
    """

    settings: _records.Settings
    mistakes: list
    invalid_sections: set


def read_sections(sections):
    """Convert all sections to records.

    Parameters
    ----------
    sections : dict of str to dict of str to str

    Returns
    -------
    ReadResult
    """
    result = ReadResult(_records.Settings(), [], set())
    for heading, texts in sections.items():
        _read_section(result, heading, texts)
    for section in _sections.SECTIONS:
        if section.required and section.kind not in sections:
            result.mistakes.append(
                _records.Mistake(section.kind, '', 'nothing', 'one section')
            )
    return result


def _read_section(result, heading, texts):
    section, names = _sections.find_section(heading)
    if section is None:
        allowed = ', '.join(
            f'[{_sections.describe_heading(item)}]'
            for item in _sections.SECTIONS
        )
        result.mistakes.append(
            _records.Mistake(heading, '', 'an unknown section', allowed)
        )
        return
    mistakes = _check_names(heading, names)
    values = _read_values(section, heading, texts, mistakes)
    result.mistakes += mistakes
    if mistakes:
        result.invalid_sections.add((section.kind, ' '.join(names)))
        return
    _store_record(result, section.kind, names, values)


def _check_names(heading, names):
    mistakes = []
    for name in names:
        if not re.fullmatch(_kinds.NAME_PATTERN, name, re.ASCII):
            allowed = _kinds.NAME.describe()
            mistakes.append(_records.Mistake(heading, '', repr(name), allowed))
    return mistakes


def _read_values(section, heading, texts, mistakes):
    """Return values by field; append errors to ``mistakes``."""
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
                    _describe_text(option, text),
                    option.kind.describe(),
                )
            )
    return values


def _describe_text(option, text):
    # Do not show a key that was pasted in place of its digest.
    if isinstance(option.kind, _kinds.Digest):
        return f'{len(text)} characters'
    if len(text) > 60:
        return repr(text[:60]) + '...'
    return repr(text)


# By kind of section: class of the records, and the attribute of Settings
# that holds them by name.
_NAMED_SECTIONS = {
    'model': (tables.Model, 'models'),
    'endpoint': (tables.Endpoint, 'endpoints'),
    'service': (tables.Service, 'services'),
    'organisation': (tables.Organisation, 'organisations'),
    'key': (_records.Key, 'keys'),
    'operator': (_records.Operator, 'operators'),
    'peer': (_records.Peer, 'peers'),
}

_RANK_SECTIONS = {f'rank {rank.name.lower()}': rank for rank in tables.RANKS}


def _store_record(result, kind, names, values):
    settings = result.settings
    if kind in _NAMED_SECTIONS:
        record_class, attribute = _NAMED_SECTIONS[kind]
        record = record_class(name=names[0], **values)
        getattr(settings, attribute)[record.name] = record
    elif kind in _RANK_SECTIONS:
        settings.policy.ranks[_RANK_SECTIONS[kind]] = tables.RankPolicy(
            **values
        )
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
