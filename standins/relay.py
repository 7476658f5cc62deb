"""TCP relay that simulates broken and stalled links."""

import dataclasses
import json
import socket
import struct
import threading

import defopt

from standins import serving

__all__ = ['Relay', 'create_relay', 'main']

_HOST = '127.0.0.1'
_PIECE_BYTES = 65536
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


@dataclasses.dataclass(slots=True)
class Link:
    """Current behaviour of the link.

    Attributes
    ----------
    request_limit, answer_limit : int
        Number of bytes to the target, or back from it, after which a
        connection breaks; negative means no limit.
    reset : bool
        Whether connections break with a TCP reset.
    stalled : bool
        Whether data is held back in both directions.
    refused : bool
        Whether open connections break and new ones are refused.
    """

    request_limit: int = -1
    answer_limit: int = -1
    reset: bool = False
    stalled: bool = False
    refused: bool = False


class Relay:
    """Forwards TCP connections to a target.

    Parameters
    ----------
    target : str
        ``host:port``.
    port : int
        0 selects a free one.

    Attributes
    ----------
    address : str
        ``host:port`` on which it listens.
    link : Link
    request_bytes, answer_bytes : int
        Bytes forwarded in the latest connection.
    """

    def __init__(self, target, port=0):
        host, _, target_port = target.rpartition(':')
        self._target = host, int(target_port)
        self._pairs = []
        self._running = threading.Event()
        self._running.set()
        self._port = port
        self._listener = None
        self._listen()
        self.address = f'{_HOST}:{self._port}'
        self.link = Link()
        self.request_bytes = 0
        self.answer_bytes = 0

    def update(self, link):
        """Change the link; limits apply to open connections too."""
        self.link = link
        if link.stalled:
            self._running.clear()
        else:
            self._running.set()
        if link.refused:
            self._stop_listening()
        elif self._listener is None:
            self._listen()

    def close(self):
        """Stop listening and break all connections."""
        self._running.set()
        self._stop_listening()

    def _listen(self):
        listener = socket.create_server((_HOST, self._port))
        self._listener = listener
        self._port = listener.getsockname()[1]
        threading.Thread(
            target=self._accept, args=(listener,), daemon=True
        ).start()

    def _stop_listening(self):
        listener, self._listener = self._listener, None
        if listener is not None:
            # close() alone does not wake the thread blocked in accept().
            listener.shutdown(socket.SHUT_RDWR)
            listener.close()
        pairs, self._pairs = self._pairs, []
        for pair in pairs:
            self._break_pair(pair)

    def _accept(self, listener):
        while True:
            try:
                client, _ = listener.accept()
            except OSError:
                return
            try:
                upstream = socket.create_connection(self._target)
            except OSError:
                client.close()
                continue
            pair = client, upstream
            self._pairs.append(pair)
            self.request_bytes = self.answer_bytes = 0
            for to_target in (True, False):
                threading.Thread(
                    target=self._forward, args=(pair, to_target), daemon=True
                ).start()

    def _forward(self, pair, to_target):
        source, sink = pair if to_target else reversed(pair)
        passed = 0
        try:
            while data := source.recv(_PIECE_BYTES):
                self._running.wait()
                limit = self._get_limit(to_target)
                if limit >= 0:
                    data = data[: max(limit - passed, 0)]
                passed += len(data)
                self._record_bytes(to_target, passed)
                sink.sendall(data)
                if passed == limit:
                    break
        except OSError:
            pass
        self._break_pair(pair)

    def _record_bytes(self, to_target, passed):
        if to_target:
            self.request_bytes = passed
        else:
            self.answer_bytes = passed

    def _get_limit(self, to_target):
        if to_target:
            return self.link.request_limit
        return self.link.answer_limit

    def _break_pair(self, pair):
        reset = self.link.reset
        for connection in pair:
            try:
                if reset:
                    connection.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
                    )
                # Wakes the thread blocked in recv(), for which close()
                # would wait otherwise.
                connection.shutdown(
                    socket.SHUT_RD if reset else socket.SHUT_RDWR
                )
                connection.close()
            except OSError:
                pass


class Control(serving.Standin):
    """HTTP interface that changes the link of a relay.

    Parameters
    ----------
    relay : Relay
    """

    def __init__(self, relay):
        super().__init__()
        self._relay = relay

    def answer(self, call):
        """See base class."""
        if call.path != '/link':
            return serving.answer_not_run(404, 'no such path')
        if call.method == 'POST':
            self._relay.update(Link(**json.loads(call.body or b'{}')))
        return serving.answer_json(dataclasses.asdict(self._relay.link))


def create_relay(target, port=0):
    """Return a running ``Relay`` to ``host:port``."""
    return Relay(target, port)


def main(*, to: str, port: int = 0, control_port: int = 0):
    """Run a TCP relay whose link can be broken or stalled.

    Parameters
    ----------
    to : str
        Address of the target, ``host:port``.
    port : int
        Port on 127.0.0.1; 0 selects a free one, printed as
        ``relay PORT``.
    control_port : int
        Port of ``/link``; 0 selects a free one, printed as
        ``ready PORT``.
    """
    relay = create_relay(to, port)
    print('relay', relay.address.rpartition(':')[2], flush=True)
    serving.run_server(Control(relay), control_port)
    relay.close()


if __name__ == '__main__':
    defopt.run(main)
