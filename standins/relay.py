"""A TCP link between two processes that can be cut or stalled."""

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
    """How the link behaves at present.

    Attributes
    ----------
    request_limit, answer_limit : int
        A connection breaks once so many bytes have passed towards the
        target, or back; negative means no limit.
    reset : bool
        Whether it breaks with a reset.
    stalled : bool
        Whether bytes wait in both directions.
    refused : bool
        Whether open connections are broken and new ones refused.
    """

    request_limit: int = -1
    answer_limit: int = -1
    reset: bool = False
    stalled: bool = False
    refused: bool = False


class Relay:
    """Passes connections on to a target.

    Parameters
    ----------
    target : str
        ``host:port``.
    port : int
        0 takes a free one.

    Attributes
    ----------
    address : str
        ``host:port`` at which it listens.
    link : Link
    request_bytes, answer_bytes : int
        Bytes passed in the latest connection.
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
        """Change how the link behaves; limits concern open ones too."""
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
            # Closing alone would not wake the thread that accepts.
            listener.shutdown(socket.SHUT_RDWR)
            listener.close()
        pairs, self._pairs = self._pairs, []
        for pair in pairs:
            self._break(pair)

    def _accept(self, listener):
        while True:
            try:
                near, _ = listener.accept()
            except OSError:
                return
            try:
                far = socket.create_connection(self._target)
            except OSError:
                near.close()
                continue
            pair = near, far
            self._pairs.append(pair)
            self.request_bytes = self.answer_bytes = 0
            for towards in (True, False):
                threading.Thread(
                    target=self._pump, args=(pair, towards), daemon=True
                ).start()

    def _pump(self, pair, towards):
        source, sink = pair if towards else reversed(pair)
        passed = 0
        try:
            while data := source.recv(_PIECE_BYTES):
                self._running.wait()
                limit = self._limit(towards)
                if limit >= 0:
                    data = data[: max(limit - passed, 0)]
                passed += len(data)
                self._note(towards, passed)
                sink.sendall(data)
                if passed == limit:
                    break
        except OSError:
            pass
        self._break(pair)

    def _note(self, towards, passed):
        if towards:
            self.request_bytes = passed
        else:
            self.answer_bytes = passed

    def _limit(self, towards):
        if towards:
            return self.link.request_limit
        return self.link.answer_limit

    def _break(self, pair):
        reset = self.link.reset
        for end in pair:
            try:
                if reset:
                    end.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
                    )
                # Wakes the other thread, else close waits for it.
                end.shutdown(socket.SHUT_RD if reset else socket.SHUT_RDWR)
                end.close()
            except OSError:
                pass


class Control(serving.Standin):
    """Changes a relay's link over HTTP.

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
    """Serve a link that can be cut or stalled.

    Parameters
    ----------
    to : str
        Address that it leads to, ``host:port``.
    port : int
        Port on 127.0.0.1; 0 takes a free one, see ``relay PORT``.
    control_port : int
        Port of ``/link``; 0 takes a free one, see ``ready PORT``.
    """
    relay = create_relay(to, port)
    print('relay', relay.address.rpartition(':')[2], flush=True)
    serving.run_server(Control(relay), control_port)
    relay.close()


if __name__ == '__main__':
    defopt.run(main)
