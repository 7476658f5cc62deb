"""Command dispatch and mapping of errors to exit statuses."""

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

Start an instance with `serve`, inspect the fleet with `query` and change
it with `command`. See `sniperudder COMMAND --help` for each command."""

_EPILOG = """\
exit status:
  0    success
  1    invalid settings
  2    invalid command line
  3    the instance could not be reached; nothing was changed
  4    the instance refused; nothing was changed
  5    partial result: some instances did not respond
  6    in doubt: it is unknown whether the command was accepted;
       repeat it with the same --id
  7    a file or an address could not be used
  8    the planned stop timed out before all work was finished
  130  interrupted

environment:
  SNIPERUDDER_KEY      operator key, for `query` and `command`
  SNIPERUDDER_ADDRESS  default for --address
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
    """Run the command line.

    Parameters
    ----------
    argv : list of str, optional
        Arguments; by default those of the process.

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
    """Redirect standard output to the null device.

    The interpreter would otherwise fail to flush it into the closed pipe at
    exit.
    """
    null = os.open(os.devnull, os.O_WRONLY)
    os.dup2(null, sys.stdout.fileno())
