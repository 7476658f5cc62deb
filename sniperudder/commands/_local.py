"""Commands that run without asking another instance."""

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

    SIGTERM and SIGINT ask for a planned stop: the instance takes no new
    work, ends what is in flight, and exits. A second one stops it at
    once.

    Parameters
    ----------
    config : str
        Settings file.
    """
    loaded = settings.load_settings(config)
    # Only this command needs the servers, which take memory.
    from sniperudder import instance

    if instance.run_instance(loaded):
        return Status.UNFINISHED
    return Status.DONE


def enter(settings_file='', *, metrics_port=0):
    """Run an entry instance on the users' platform.

    SIGTERM asks for a planned stop: the instance leaves the balancer,
    ends what is in flight, and exits.

    Parameters
    ----------
    settings_file : str
        File that the platform wrote; by default the one that the
        environment names.
    metrics_port : int
        Port on which metrics are served; 0 for none.
    """
    # Only this command needs the forwarding, which takes memory.
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
    """Check a settings file and name every mistake in it.

    Each mistake takes one line: section, key, what was read, and what is
    allowed. Secrets that the file names are not read.

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
    """Merge the logs of all processes into one time line.

    Events come in causal order: what caused another event stands above
    it, whatever the wall clocks say.

    Parameters
    ----------
    *log : str
        Log files, one or more.
    svg : str
        Write a picture to this file instead of printing text.
    only : str
        Keep events that hold this text, such as a request's id.
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
    """Print what logs tell of one request, endpoint or version.

    Parameters
    ----------
    subject : str
        Id of a request or endpoint, or whatever lines are about.
    log : str
        Log files of any number of instances.
    """
    lines = []
    for path in log:
        with open(path, encoding='utf-8', errors='replace') as file:
            lines += file
    print(logs.render_story(logs.read_story(lines, subject)))
    return Status.DONE


def codes(*, markdown=False):
    """List the result codes that callers, logs and operators see.

    Parameters
    ----------
    markdown : bool
        Print the page of the docs.
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
    """Print the version of the program and of Python."""
    python = platform.python_version()
    print(f'sniperudder {sniperudder.__version__} (Python {python})')
    return Status.DONE
