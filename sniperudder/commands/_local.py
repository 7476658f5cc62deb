"""Commands that run locally, without a request to an instance."""

import os
import platform
import sys

import sniperudder
from sniperudder.commands._status import CommandFailed
from sniperudder.commands._status import Status
from sniperudder import logs
from sniperudder import outcomes
from sniperudder import queries
from sniperudder import settings


def serve(config):
    """Run an entry instance until it is told to stop.

    SIGTERM and SIGINT start a graceful shutdown: the instance accepts no new
    work, finishes what is in flight, and exits. A second signal stops it
    immediately.

    Parameters
    ----------
    config : str
        Settings file.
    """
    loaded = settings.load_settings(config)
    # Imported here to save memory: only this command needs the servers.
    from sniperudder import instance

    if instance.run_instance(loaded):
        return Status.UNFINISHED
    return Status.DONE


def enter(settings_file='', *, metrics_port=0):
    """Run an entry instance on the users' platform.

    SIGTERM starts a graceful shutdown: the instance leaves the load balancer,
    finishes what is in flight, and exits.

    Parameters
    ----------
    settings_file : str
        Settings file written by the platform; by default the path in the
        environment variable for it.
    metrics_port : int
        Port on which metrics are served; 0 disables them.
    """
    # Imported here to save memory: only this command needs forwarding.
    from sniperudder import entry
    from sniperudder import platform

    path = settings_file or os.environ.get(platform.SETTINGS_VARIABLE, '')
    try:
        entry.run_entry(path, metrics_port)
    except platform.DocumentError as error:
        print(f'{path}: {error}', file=sys.stderr)
        return Status.MISTAKES
    return Status.DONE


def check_config(config):
    """Check a settings file and print every mistake in it.

    Each mistake is printed on one line: section, key, value found, and
    allowed values. Secrets that the file refers to are not read.

    Parameters
    ----------
    config : str
        Settings file.
    """
    mistakes = settings.check_settings(config)
    for mistake in mistakes:
        print(mistake)
    if mistakes:
        return Status.MISTAKES
    print(f'{config}: no mistakes')
    return Status.DONE


def timeline(*log, svg='', only=''):
    """Merge the logs of several processes into one timeline.

    Events are listed in causal order: a cause precedes its effects even
    if the wall clocks disagree.

    Parameters
    ----------
    *log : str
        Log files, one or more.
    svg : str
        Write the timeline as SVG to this file instead of printing text.
    only : str
        Keep only events that contain this text, such as a request id.
    """
    if not log:
        raise CommandFailed(Status.USAGE, 'no log file given')
    merged = logs.read_timeline(log, only)
    if not svg:
        print(logs.render_text(merged))
        return Status.DONE
    with open(svg, 'w', encoding='utf-8') as file:
        file.write(logs.render_svg(merged))
    print(f'{svg}: {len(merged.events)} events')
    return Status.DONE


def story(subject, *log):
    """Print the logged events of one request, endpoint or version.

    Parameters
    ----------
    subject : str
        Id of a request or endpoint, or another subject of log lines.
    log : str
        Log files from any number of instances.
    """
    lines = []
    for path in log:
        with open(path, encoding='utf-8', errors='replace') as file:
            lines += file
    print(logs.render_story(logs.read_story(lines, subject)))
    return Status.DONE


def codes(*, markdown=False):
    """List the result codes that callers, logs and operators receive.

    Parameters
    ----------
    markdown : bool
        Print the list as the Markdown page of the documentation.
    """
    if markdown:
        print(outcomes.render_codes(), end='')
        return Status.DONE
    rows = [
        (int(entry.code), entry.code.name, entry.execution.value)
        + (entry.status, entry.meaning)
        for entry in outcomes.list_codes()
    ]
    columns = ('code', 'name', 'class', 'http', 'meaning')
    print(queries.render_grid(columns, rows))
    return Status.DONE


def version():
    """Print the versions of sniperudder and Python."""
    python = platform.python_version()
    print(f'sniperudder {sniperudder.__version__} (Python {python})')
    return Status.DONE
