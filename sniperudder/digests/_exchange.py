"""Exchange of digests over UDP."""

import asyncio

from sniperudder.digests import _codec


class DigestExchange(asyncio.DatagramProtocol):
    """Sends digests to peers and takes in theirs.

    Parameters
    ----------
    take : callable
        Told each digest and the address that it came from.
    note_foreign : callable
        Told why a datagram was dropped.
    """

    def __init__(self, take, note_foreign):
        self._take = take
        self._note_foreign = note_foreign
        self._transport = None

    async def start(self, host, port):
        """Listen.

        Raises
        ------
        OSError
        """
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=(host, port)
        )

    def close(self):
        """Stop listening."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport):
        """See base class."""
        self._transport = transport

    def datagram_received(self, data, addr):
        """See base class."""
        try:
            digest = _codec.decode_digest(data)
        except _codec.DigestError as error:
            self._note_foreign(f'{addr[0]}: {error}')
            return
        self._take(digest, addr)

    def error_received(self, exc):
        """See base class; a peer that is gone is noticed by its silence."""

    def send(self, digest, addresses):
        """Send one digest to each address."""
        data = _codec.encode_digest(digest)
        for address in addresses:
            self._transport.sendto(data, address)
