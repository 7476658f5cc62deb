"""Value types: how text is parsed, and which values are allowed."""

import abc
import ipaddress
import math
import re


class ValueKind(abc.ABC):
    """Parses and validates the text of a key."""

    __slots__ = ()

    @abc.abstractmethod
    def read(self, text):
        """Parse a text and return its value.

        Raises
        ------
        ValueError
            If the text is not valid.
        """

    @abc.abstractmethod
    def describe(self):
        """Return a description of the allowed values."""


class Text(ValueKind):
    """Text that matches a pattern in full."""

    __slots__ = ('_pattern', '_words')

    def __init__(self, pattern, words):
        self._pattern = re.compile(pattern, re.ASCII)
        self._words = words

    def read(self, text):
        if self._pattern.fullmatch(text) is None:
            raise ValueError(text)
        return text

    def describe(self):
        return self._words


class Address(ValueKind):
    """An IP address and a port."""

    __slots__ = ()

    def read(self, text):
        host, _, port = text.rpartition(':')
        if not re.fullmatch('[0-9]{1,5}', port, re.ASCII):
            raise ValueError(text)
        if not 1 <= int(port) <= 65535:
            raise ValueError(text)
        if host.startswith('[') and host.endswith(']'):
            ipaddress.IPv6Address(host[1:-1])
        else:
            ipaddress.IPv4Address(host)
        return text

    def describe(self):
        return (
            'IP address and port, such as 192.0.2.7:8080 or [2001:db8::7]:80'
        )


class Addresses(ValueKind):
    """One or more addresses, separated by commas."""

    __slots__ = ()

    def read(self, text):
        parts = [part.strip() for part in text.split(',')]
        return [Address().read(part) for part in parts]

    def describe(self):
        return (
            'one or more addresses (IP address and port), separated by commas'
        )


class Integer(ValueKind):
    """An integer in a range."""

    __slots__ = ('_high', '_low')

    def __init__(self, low, high):
        self._low = low
        self._high = high

    def read(self, text):
        if not re.fullmatch('-?[0-9]{1,19}', text, re.ASCII):
            raise ValueError(text)
        value = int(text)
        if not self._low <= value <= self._high:
            raise ValueError(text)
        return value

    def describe(self):
        return f'an integer from {self._low} to {self._high}'


class Number(ValueKind):
    """A number in a range, converted to the internal unit.

    Parameters
    ----------
    low, high : float
        Range in the unit of the file, inclusive.
    scale : float
        Number of file units in one internal unit, such as 1000 for
        milliseconds that are kept in seconds.
    """

    __slots__ = ('_high', '_low', '_scale')

    def __init__(self, low, high, scale=1):
        self._low = low
        self._high = high
        self._scale = scale

    def read(self, text):
        if '_' in text:
            raise ValueError(text)
        value = float(text)
        if not math.isfinite(value) or not self._low <= value <= self._high:
            raise ValueError(text)
        return value / self._scale

    def describe(self):
        return f'a number from {self._low:g} to {self._high:g}'


class Flag(ValueKind):
    """A boolean, written as yes or no."""

    __slots__ = ()

    def read(self, text):
        if text not in ('yes', 'no'):
            raise ValueError(text)
        return text == 'yes'

    def describe(self):
        return 'yes or no'


class Choice(ValueKind):
    """A member of an enumeration, named in lower case."""

    __slots__ = ('_members',)

    def __init__(self, enumeration):
        self._members = {item.name.lower(): item for item in enumeration}

    def read(self, text):
        if text not in self._members:
            raise ValueError(text)
        return self._members[text]

    def describe(self):
        return 'one of ' + ', '.join(self._members)


class Digest(ValueKind):
    """A SHA-256 digest in hexadecimal."""

    __slots__ = ()

    def read(self, text):
        if not re.fullmatch('[0-9a-fA-F]{64}', text, re.ASCII):
            raise ValueError(text)
        return bytes.fromhex(text)

    def describe(self):
        return '64 hexadecimal digits (SHA-256)'


NAME_PATTERN = '[A-Za-z0-9][A-Za-z0-9._-]{0,62}'
NAME = Text(
    NAME_PATTERN,
    'a name of up to 63 characters (letters, digits, ".", "_", "-") that '
    'starts with a letter or digit',
)
PATH = Text('[^\\0\\n]+', 'a path')
ENVIRONMENT_VARIABLE = Text(
    '[A-Za-z_][A-Za-z0-9_]*', 'the name of an environment variable'
)
ADDRESS = Address()
ADDRESSES = Addresses()
FLAG = Flag()
DIGEST = Digest()
