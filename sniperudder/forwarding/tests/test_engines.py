"""Tests of calls to the control interface of engines."""

import asyncio
import types

import testtools

from sniperudder import forwarding

_ID = b'x-sniperudder-request-id: '


class SecondCopyTest(testtools.TestCase):
    """An engine sends a copy of a report where an order's answer belongs."""

    def run_calls(self):
        """Ask for a report and send an order; return both outcomes."""

        async def respond(reader, writer):
            copy = b''
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                writer.write(copy)
                lines = head.split(b'\r\n')
                call_id = [
                    line for line in lines if line.lower().startswith(_ID)
                ]
                copy = b'\r\n'.join(
                    (b'HTTP/1.1 200 OK', b'Content-Length: 2', *call_id)
                )
                copy += b'\r\n\r\n{}'
                if b'content-length: 4' in head.lower():
                    await reader.readexactly(4)
                    writer.write(copy.replace(b'200 OK', b'409 no'))
                else:
                    writer.write(copy)

        async def serve(reader, writer):
            try:
                await respond(reader, writer)
            except asyncio.IncompleteReadError:
                pass
            finally:
                writer.close()

        async def run():
            server = await asyncio.start_server(serve, '127.0.0.1', 0)
            host, port = server.sockets[0].getsockname()
            endpoint = types.SimpleNamespace(
                id='gpu-1', address=f'{host}:{port}'
            )
            notices = types.SimpleNamespace(record_head=lambda *_: None)
            pool = forwarding.ConnectionPool()
            client = forwarding.EngineClient(pool, 1.0, notices)
            async with server:
                report = await client.fetch_report(endpoint)
                order = await client.send_order(endpoint, b'body')
                repeated = await client.send_order(endpoint, b'body')
                server.close()
            return report, order, repeated

        return asyncio.run(run())

    # Guards against: the copy was taken for the answer to the order, which
    # then counted as carried out.
    def test_order_has_no_known_outcome(self):
        report, order, repeated = self.run_calls()
        self.assertNotIsInstance(report, forwarding.NoResponse)
        self.assertIsInstance(order, forwarding.NoResponse)
        self.assertIn('another call', order.reason)
        self.assertEqual(409, repeated.status)
