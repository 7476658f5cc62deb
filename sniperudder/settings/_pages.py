"""Rendering the documentation page of settings."""

from sniperudder.settings import _sections


_PAGE_HEADER = """\
# Settings

An instance reads one INI file: `sniperudder serve CONFIG`. The name of a
key includes its unit. Sections and keys that are not listed here are
rejected, and `sniperudder check-config CONFIG` reports all mistakes at once:
section, key, the value read, and the allowed values. `examples/` contains
a commented file for each of two deployments.

Addresses are IP addresses with a port. Comments begin with `#` and occupy
whole lines. Names are case-sensitive. The digest of a key is the output of
`printf %s KEY | sha256sum`; the file never contains a key itself, and the
key shared by the peers is read from the file or environment variable named
here.

In addition to single keys, the check verifies that referenced models,
organisations and data centres exist, that layer ranges lie within their
model and form complete chains, that the floors of the ranks sum to at most
1, that `heartbeat_ms` is below `suspect_s` and `poll_ms` below
`freshness_s`, and that no address or key is used twice (services may share
workers).

`make docs` renders this page from the code, and a test compares the two.
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
