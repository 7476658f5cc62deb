"""Rendering the documentation page of result codes."""

from sniperudder.outcomes import _codes

_PAGE_HEADER = """\
# Result codes

Every rejection and failure has one of these codes, which appears in the
body of the answer to the caller, in logs, and in operators' queries. The
class states what is known about the work: *not run* means that it certainly
did not run and may be sent again; *ran* that it ran, at least in part;
*in doubt* that it is not yet known whether it ran.

`sniperudder codes` prints the table; `make docs` renders this page from
the code, and a test compares the two.

| code | name | class | HTTP | meaning |
|---:|---|---|---:|---|
"""


def render_codes():
    """Render the page of result codes as Markdown.

    Returns
    -------
    str
    """
    lines = [_render_entry(entry) for entry in _codes.list_codes()]
    return _PAGE_HEADER + ''.join(lines)


def _render_entry(entry):
    return (
        f'| {int(entry.code)} | `{entry.code.name}` '
        f'| {entry.execution.value} | {entry.status} | {entry.meaning} |\n'
    )
