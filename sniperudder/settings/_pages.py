"""The table of settings for the docs."""

from sniperudder.settings import _sections


def render_settings():
    """Return a table of every section and key in Markdown.

    Returns
    -------
    str
    """
    lines = []
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
