"""Copies the locked packages of this environment into a directory.

``make setup`` has already installed them with verified hashes, so the
archive is built without another download.
"""

from importlib import metadata
import pathlib
import re
import shutil
import sys

_PIN = re.compile(r'(?P<name>[A-Za-z0-9._-]+)==(?P<version>[^\s;\\]+)')


def read_pins(lock):
    """Return the pinned versions of a lock file by package.

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
        If another version is installed.
    """
    package = metadata.distribution(name)
    if package.version != version:
        sys.exit(f'{name}: {package.version} installed, {version} locked')
    for file in package.files:
        # Scripts are outside of the site-packages directory.
        if '..' in file.parts or '__pycache__' in file.parts:
            continue
        copy = target / file
        copy.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(file.locate(), copy)


def main(lock, target):
    """Copy all packages of a lock file.

    Parameters
    ----------
    lock, target : str
        Paths of the lock file and of the target directory.
    """
    for name, version in read_pins(pathlib.Path(lock)).items():
        copy_package(name, version, pathlib.Path(target))


if __name__ == '__main__':
    main(*sys.argv[1:])
