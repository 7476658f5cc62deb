"""Copies the locked packages of this environment into a directory.

The environment was installed with hashes checked (``make setup``), so
that the archive needs no second download.
"""

from importlib import metadata
import pathlib
import re
import shutil
import sys

_PIN = re.compile(r'(?P<name>[A-Za-z0-9._-]+)==(?P<version>[^\s;\\]+)')


def read_pins(lock):
    """Return the versions that a lock file names, by package.

    Parameters
    ----------
    lock : pathlib.Path

    Returns
    -------
    dict of str to str
    """
    lines = lock.read_text(encoding='utf-8').splitlines()
    matches = (_PIN.match(line) for line in lines)
    return {match['name']: match['version'] for match in matches if match}


def copy_package(name, version, target):
    """Copy an installed package.

    Raises
    ------
    SystemExit
        If the environment holds another version.
    """
    package = metadata.distribution(name)
    if package.version != version:
        sys.exit(f'{name}: {package.version} installed, {version} locked')
    for file in package.files:
        # Scripts lie outside of the packages' directory.
        if '..' in file.parts or '__pycache__' in file.parts:
            continue
        copy = target / file
        copy.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(file.locate(), copy)


def main(lock, target):
    """Copy all packages of a lock file."""
    for name, version in read_pins(pathlib.Path(lock)).items():
        copy_package(name, version, pathlib.Path(target))


if __name__ == '__main__':
    main(*sys.argv[1:])
