"""Exchange of digests between instances over UDP."""

import asyncio

from sniperudder.digests import _codec

# Largest payload of a UDP datagram over IPv4.
_MAX_DATAGRAM_BYTES = 65_507


class DigestExchange(asyncio.DatagramProtocol):
    """Sends digests to peers and receives theirs.

    Parameters
    ----------
    handle_digest : callable
        Called with each received digest and the sender's address.
    report_invalid : callable
        Called with the reason when a datagram is not a valid digest.
    """

    def __init__(self, handle_digest, report_invalid):
        self._handle_digest = handle_digest
        self._report_invalid = report_invalid
        self._transport = None

    async def start(self, host, port):
        """Bind the UDP socket.

        Raises
        ------
        OSError
            If the address cannot be bound.
        """
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=(host, port)
        )

    def close(self):
        """Close the UDP socket."""
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
            self._report_invalid(f'{addr[0]}: {error}')
            return
        try:
            self._handle_digest(digest, addr)
        except Exception as error:
            # Costs this digest only, not the socket or other peers' digests.
            self._report_invalid(
                f'{addr[0]}: not applied: {type(error).__name__}: {error}'
            )

    def error_received(self, exc):
        """Ignore errors; unreachable peers are detected by their silence."""

    def send(self, digest, addresses):
        """Send a digest to each address."""
        data = _codec.encode_digest(digest)
        if len(data) > _MAX_DATAGRAM_BYTES:
            self._report_invalid(f'own digest of {len(data)} bytes')
            return
        for address in addresses:
            self._transport.sendto(data, address)
