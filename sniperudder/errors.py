"""The library's exceptions, all under one base."""

__all__ = [
    'SniperudderError',
    'SettingsError',
    'SyntaxProblem',
    'InvariantBroken',
    'UnknownName',
]


class SniperudderError(Exception):
    """Base of every exception that this library raises on purpose."""


class SettingsError(SniperudderError):
    """The settings file has one or more mistakes.

    Attributes
    ----------
    mistakes : tuple of sniperudder.settings.Mistake
        All mistakes that were found, in the order of the file.
    """

    def __init__(self, mistakes=()):
        self.mistakes = tuple(mistakes)
        super().__init__('\n'.join(str(item) for item in self.mistakes))


class SyntaxProblem(SniperudderError):
    """A query, command or scenario does not follow its grammar.

    Parameters
    ----------
    problem : str
        What is wrong and what was expected, in one sentence.
    line, column : int
        Where it was found, both from 1.
    """

    def __init__(self, problem, line=1, column=1):
        super().__init__(f'line {line}, column {column}: {problem}')
        self.problem = problem
        self.line = line
        self.column = column


class InvariantBroken(SniperudderError):
    """A promise that must always hold was about to be broken."""


class UnknownName(SniperudderError):
    """A name refers to nothing that exists."""
