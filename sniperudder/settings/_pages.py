"""Rendering the documentation page of settings."""

from sniperudder.settings import _sections


_PAGE_HEADER = """\
# Settings

An instance reads one INI file: `sniperudder serve CONFIG`. Keys carry their
unit. Sections and keys that are not listed here are refused, and
`sniperudder check-config CONFIG` names all mistakes at once: section, key,
what was read, and what is allowed. `examples/` holds a commented file for
each of two deployments.

Addresses are IP numbers with a port. Comments begin with `#` and take whole
lines. Names are case-sensitive. The digest of a key is
`printf %s KEY | sha256sum`; the file never holds a key itself, and the key
that peers share is read from the file or variable named here.

Beyond single keys it is checked that models, organisations and data centres
that are referred to exist, that layer ranges lie inside their model and
join up to whole chains, that the floors of the ranks sum up to 1 at most,
that `heartbeat_ms` is below `suspect_s` and `poll_ms` below `freshness_s`,
and that no address or key is used twice (services may share workers).

`make docs` renders this page from the code, and a test holds the two
together.
"""


def render_settings():
    """Render the page of all sections and keys as Markdown.

    Returns
    -------
    str
    """
    lines = [_PAGE_HEADER]
    for section in _sections.SECTIONS:
        lines += _render_section(section)
    return '\n'.join(lines)


def _render_section(section):
    lines = [
        f'## `[{_sections.describe_heading(section)}]`',
        '',
        section.meaning + (' Required.' if section.required else ''),
        '',
        '| key | allowed | default | meaning |',
        '|---|---|---|---|',
    ]
    for option in section.options:
        lines.append(
            f'| `{option.key}` | {option.kind.describe()} '
            f'| {_render_default(option)} | {option.meaning} |'
        )
    lines.append('')
    return lines


def _render_default(option):
    if option.default is _sections.REQUIRED:
        return 'required'
    if option.default is None:
        return 'none'
    return f'`{option.default}`'
