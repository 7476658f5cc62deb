"""Compare two relays of event streams: an event loop, and threads.

Usage: ``python -m measurements.relays [STREAMS]``. Each relay runs as a
separate process in front of the same stand-in. Prints its CPU time, its peak
memory, and the median and longest duration of a stream.
"""

import asyncio
import os
import re
import subprocess
import sys
import time

from cheroot import wsgi
import h11
import urllib3

from scenarios import _processes
from sniperudder import forwarding
from sniperudder.forwarding import _exchanges
from standins import fleet as standins

_STREAMS = 100
_EVENTS = 40
_EVENT_S = 0.1
_START_S = 5.0

# Each stream occupies a thread until it ends, so this limits the streams.
_THREADS = 256
_TICKS_PER_S = os.sysconf('SC_CLK_TCK')


def main():
    """Run the relay that the arguments name, or measure both."""
    if sys.argv[1:2] == ['loop']:
        asyncio.run(_run_loop(*sys.argv[2:]))
    elif sys.argv[1:2] == ['threads']:
        _run_threads(*sys.argv[2:])
    else:
        streams = int(sys.argv[1]) if len(sys.argv) > 1 else _STREAMS
        print(f'{streams} streams of {_EVENTS} events, {_EVENT_S} s apart')
        for kind in ('loop', 'threads'):
            print(asyncio.run(_measure(kind, streams)))


async def _run_loop(address, target):
    """Relay with asyncio and h11."""
    pool = forwarding.ConnectionPool()

    async def handle(request, caller):
        headers = [(raw, value) for _, raw, value in request.headers]
        outgoing = _exchanges.OutgoingRequest(
            'r-1', request.method, request.target, headers, request.body
        )
        exchange = _exchanges.Exchange(pool, target, outgoing)
        await exchange.open()
        await exchange.receive_head()
        caller.start_response(200, [])
        while True:
            event = await exchange.receive()
            if isinstance(event, h11.EndOfMessage):
                break
            caller.send_data(bytes(event.data))
            await caller.drain()
        exchange.release()
        caller.end_response()

    server = forwarding.CallerServer(handle, print, print)
    await server.start(address)
    await asyncio.Event().wait()


def _run_threads(address, target):
    """Relay with cheroot and urllib3, using one thread per stream."""
    pool = urllib3.PoolManager(maxsize=1_000)

    def relay(environ, start_response):
        size = int(environ.get('CONTENT_LENGTH') or 0)
        reply = pool.request(
            'POST',
            f'http://{target}{environ["PATH_INFO"]}',
            body=environ['wsgi.input'].read(size),
            preload_content=False,
        )
        start_response('200 OK', [])
        for piece in reply.read_chunked():
            yield piece
        reply.release_conn()

    host, _, port = address.rpartition(':')
    server = wsgi.Server(
        (host, int(port)),
        relay,
        numthreads=_THREADS,
        request_queue_size=_THREADS,
    )
    server.start()


async def _measure(kind, streams):
    endpoint = standins.EndpointStandin('gpu-1', 'llm', accelerator='big')
    endpoint.events, endpoint.event_s = _EVENTS, _EVENT_S
    await endpoint.start()
    (address,) = _processes.find_addresses(1)
    child = subprocess.Popen(
        [sys.executable, '-m', __spec__.name, kind, address, endpoint.address]
    )
    try:
        await _await_open(address)
        began_s = _read_cpu_s(child.pid)
        took_s = await asyncio.gather(
            *(_time_stream(address) for _ in range(streams))
        )
        cpu_s = _read_cpu_s(child.pid) - began_s
        peak_mb = _read_peak_mb(child.pid)
    finally:
        child.kill()
        child.wait()
        await endpoint.stop()
    took_s.sort()
    return (
        f'{kind}: {cpu_s:.2f} s of processor time, {peak_mb:.0f} MB at most, '
        f'a stream in {took_s[len(took_s) // 2]:.2f} s (median), '
        f'{took_s[-1]:.2f} s (longest)'
    )


async def _time_stream(address):
    began = time.monotonic()
    status, _, body = await standins.send_request(address, '/stream/a')
    assert status == 200 and body.count(b'data: ') == _EVENTS, status
    return time.monotonic() - began


async def _await_open(address):
    host, _, port = address.rpartition(':')
    async with asyncio.timeout(_START_S):
        while True:
            try:
                _, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                await asyncio.sleep(0.05)
                continue
            writer.close()
            return


def _read_cpu_s(pid):
    with open(f'/proc/{pid}/stat') as file:
        fields = file.read().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def _read_peak_mb(pid):
    with open(f'/proc/{pid}/status') as file:
        return int(re.search(r'VmHWM:\s+(\d+)', file.read())[1]) / 1024


if __name__ == '__main__':
    main()
