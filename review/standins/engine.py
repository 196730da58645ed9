"""
A stand-in of a model engine, as a process of its own. The first engine of a
path makes the whole answer.

It writes a line to its log for each request that it begins to read, and its
layers to a file from which its entry is written.
"""

import argparse
import asyncio
import json
import os
import time
from pathlib import Path

import http1

NOT_EXECUTED = ('Mallowcrank-Not-Executed', '1')
LOAD_S = 0.3
EVENT_S = 0.02
EVENTS = 20


class Engine:
    """
    Reads prompts and streams answers; every stream has the same pace.
    """

    def __init__(self, options):
        self._options = options
        self._held = None
        self._orders = 0
        self._is_busy = False
        self._running = 0
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self._log = os.open(options.log, flags, 0o644)

    async def handle(self, request, reader, writer):
        method, target, _ = request.start
        headers = request.headers
        identity = self._options.identity
        request_id = headers.get('mallowcrank-request-id', '')
        echoed = [('Mallowcrank-Request-Id', request_id)] if request_id else []
        if headers.get('mallowcrank-expect-instance', identity) != identity:
            writer.write(http1.answer(421, [*echoed, NOT_EXECUTED]))
        elif target == '/health':
            own = ('Mallowcrank-Instance-Id', identity)
            writer.write(http1.answer(200, [own]))
        elif target == '/report':
            body = json.dumps(self._report()).encode()
            writer.write(http1.answer(200, (), body))
        elif target == '/order':
            writer.write(http1.answer(self._order(json.loads(request.body))))
        elif not request_id:
            writer.write(http1.answer(400, [NOT_EXECUTED]))
        elif not self._holds_part(headers.get('mallowcrank-hop-count', '')):
            fault = ('At-Server', self._options.address)
            writer.write(http1.answer(421, [*echoed, NOT_EXECUTED, fault]))
        else:
            return await self._stream(request, echoed, reader, writer)
        return True

    def _layers(self):
        if not self._held:
            return None
        return {'source': self._held[0], 'to': self._held[1], 'version': 1}

    def _report(self):
        return {
            'stage': 'both',
            'models': [{'name': 'm0', 'version': 1, 'adapters': []}],
            'layers': self._layers(),
            'kind': self._options.kind,
            'busy': self._is_busy,
            'sequence': self._orders,
            'queued': 0,
            'running': self._running,
            'kv_used': 0,
            'kv_total': 8_000_000,
            'handles': 0,
            'pace': 1,
            'stalled': [],
        }

    def _order(self, order):
        if order.get('operation') != 'place':
            return 404
        ordered = (order['source'], order['to'])
        if self._held == ordered:
            return 200
        if order.get('expected', self._orders) != self._orders:
            return 409
        self._orders += 1
        self._is_busy = True
        asyncio.get_running_loop().call_later(LOAD_S, self._hold, ordered)
        return 202

    def _hold(self, ordered):
        self._held = ordered
        self._is_busy = False
        Path(self._options.layers).write_text(json.dumps(self._layers()))

    def _holds_part(self, path):
        """
        Return whether this engine is the first of a path and holds its part.

        The others of the path are taken to hold theirs.
        """
        address, _, part = path.partition(',')[0].partition('=')
        if self._held is None or address != self._options.address:
            return False
        first, end = (int(each) for each in part.split('-'))
        return self._held[0] <= first < end <= self._held[1]

    async def _stream(self, request, echoed, reader, writer):
        line = {
            'at': round(time.monotonic(), 4),
            'replica': self._options.identity,
            'ran': echoed[0][1],
            'target': request.start[1],
        }
        os.write(self._log, json.dumps(line).encode() + b'\n')
        closed = asyncio.ensure_future(reader.read(1))
        self._running += 1
        try:
            return await self._write(request, echoed, writer, closed)
        finally:
            self._running -= 1
            closed.cancel()
            await asyncio.wait((closed,))

    async def _write(self, request, echoed, writer, closed):
        await asyncio.wait((closed,), timeout=self._options.read_ms / 1000)
        headers = (
            *echoed,
            ('Mallowcrank-Response-Seal', f'{self._options.identity}.1'),
            ('Mallowcrank-Weight-Versions', '1'),
            ('Content-Type', 'text/event-stream'),
            ('Transfer-Encoding', 'chunked'),
        )
        lines = [
            'HTTP/1.1 200 X',
            *(f'{name}: {text}' for name, text in headers),
        ]
        writer.write('\r\n'.join([*lines, '', '']).encode())
        last = int(request.headers.get('last-event-id') or 0)
        for number in range(last + 1, EVENTS + 1):
            if closed.done():
                return False
            event = f'id: {number}\ndata: piece {number}\n\n'.encode()
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await asyncio.wait((closed,), timeout=EVENT_S)
        writer.write(b'0\r\n\r\n')
        return not closed.done()


async def main():
    """
    Serve until killed.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--address', required=True)
    parser.add_argument('--identity', required=True)
    parser.add_argument('--kind', required=True)
    parser.add_argument('--read-ms', type=float, default=120)
    parser.add_argument('--layers', required=True)
    parser.add_argument('--log', required=True)
    options = parser.parse_args()
    server = await http1.serve(options.address, Engine(options).handle)
    async with server:
        await server.serve_forever()


if __name__ == '__main__':
    asyncio.run(main())
