"""Exceptions of the library, all derived from one base class."""

__all__ = [
    'SniperudderError',
    'SettingsError',
    'GrammarError',
    'InvariantBroken',
    'UnknownName',
]


class SniperudderError(Exception):
    """Base class of the exceptions that this library raises."""


class SettingsError(SniperudderError):
    """The settings file is invalid.

    Attributes
    ----------
    mistakes : tuple of sniperudder.settings.Mistake
        All mistakes that were found, in the order of the file.
    """

    def __init__(self, mistakes=()):
        self.mistakes = tuple(mistakes)
        super().__init__('\n'.join(str(item) for item in self.mistakes))


class GrammarError(SniperudderError):
    """A query, command or scenario violates its grammar.

    Parameters
    ----------
    message : str
        One sentence: what was found and what was expected.
    line, column : int
        Position of the error; both count from 1.
    """

    def __init__(self, message, line=1, column=1):
        super().__init__(f'line {line}, column {column}: {message}')
        self.message = message
        self.line = line
        self.column = column


class InvariantBroken(SniperudderError):
    """An operation would have violated an invariant."""


class UnknownName(SniperudderError):
    """A name does not refer to any existing object."""
