"""Choosing a command and turning its end into an exit status."""

import os
import sys

import defopt

from sniperudder.commands import _local
from sniperudder.commands import _remote
from sniperudder.commands._status import CommandFailed
from sniperudder.commands._status import Status
from sniperudder import errors

_DESCRIPTION = """\
A router for language-model pipelines over mixed accelerators.

Start an instance with `serve`, look with `query`, act with `command`.
`sniperudder COMMAND --help` tells more about each."""

_EPILOG = """\
exit status:
  0    done
  1    the settings have mistakes
  2    the command line is wrong
  3    the instance could not be reached; nothing was done
  4    the instance refused; nothing was done
  5    answered in part: some instances are missing
  6    in doubt: it is unknown whether the command was taken;
       repeat it with the same --id
  7    a file or an address could not be used
  8    the time for a planned stop ran out before the work was done
  130  interrupted

environment:
  SNIPERUDDER_KEY      operator's key, for `query` and `command`
  SNIPERUDDER_ADDRESS  admin address, where --address is absent
"""

_COMMANDS = (
    _local.serve,
    _local.enter,
    _local.check_config,
    _remote.query,
    _remote.command,
    _local.timeline,
    _local.story,
    _local.codes,
    _local.version,
)


def main(argv=None):
    """Run a command.

    Parameters
    ----------
    argv : list of str, optional
        Arguments; those of the process where absent.

    Returns
    -------
    int
        Exit status, see `Status`.
    """
    try:
        return int(_run_command(argv))
    except CommandFailed as error:
        _print_error(error)
        return int(error.status)
    except errors.SettingsError as error:
        for mistake in error.mistakes:
            _print_error(mistake)
        return int(Status.MISTAKES)
    except BrokenPipeError:
        _discard_output()
        return int(Status.FILE)
    except OSError as error:
        _print_error(error)
        return int(Status.FILE)
    except KeyboardInterrupt:
        return int(Status.INTERRUPTED)


def _run_command(argv):
    return defopt.run(
        list(_COMMANDS),
        argv=argv,
        short={},
        show_defaults=False,
        no_negated_flags=True,
        version=False,
        argparse_kwargs={
            'prog': 'sniperudder',
            'description': _DESCRIPTION,
            'epilog': _EPILOG,
        },
    )


def _print_error(error):
    line = ' '.join(str(error).split())
    print(f'sniperudder: {line}', file=sys.stderr)


def _discard_output():
    """Keep the interpreter from flushing into a closed pipe."""
    null = os.open(os.devnull, os.O_WRONLY)
    os.dup2(null, sys.stdout.fileno())
