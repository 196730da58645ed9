"""
A replica that sends without end, as a process of its own: each request gets a
proper beginning of an answer, then the same piece again and again.

Run as `python -m tests.utils.flooding_replica PART RATE PIECE`: the part of an
answer that never ends, bytes per second on each channel, and bytes a write.
The first line that it prints is its port.
"""

import asyncio
import json
import socket
import sys
from contextlib import suppress
from types import MappingProxyType

WRITES_PER_S = 500
CHUNKED = b'Transfer-Encoding: chunked\r\n'
EVENT = b'id: 1\ndata: event 1\n\n'
COMMENT = b':::: a comment of a stream\n\n'
FILLER = b'x'
HEAD_END = b'\r\n'


def chunk(data):
    """
    Return a chunk of a body.
    """
    return b'%x\r\n%b\r\n' % (len(data), data)


# Of each part: what comes before it, after the status line and the headers
# that a genuine answer has; and what is repeated.
PARTS = MappingProxyType(
    {
        'header value': ((b'Long: ',), FILLER),
        'header name': ((b'Long',), FILLER),
        'headers': ((), b'Many: y\r\n'),
        'interim answers': (None, b'HTTP/1.1 100 Continue\r\n\r\n'),
        'no HTTP': (None, b'no HTTP at all'),
        'trailers': (
            (CHUNKED, HEAD_END, chunk(b'whole'), b'0\r\n'),
            b'Trailer: y\r\n',
        ),
        'a trailer': (
            (CHUNKED, HEAD_END, chunk(b'whole'), b'0\r\nTrailer: '),
            FILLER,
        ),
        'chunk extension': ((CHUNKED, HEAD_END, b'5;'), FILLER),
        'body without length': ((HEAD_END,), FILLER),
        'chunks': ((CHUNKED, HEAD_END), chunk(FILLER * 65_536)),
        'tiny chunks': ((CHUNKED, HEAD_END), chunk(FILLER)),
        'trailers of a stream': (
            (CHUNKED, HEAD_END, chunk(EVENT), b'0\r\n'),
            b'Trailer: y\r\n',
        ),
        'comments of a stream': ((CHUNKED, HEAD_END), chunk(COMMENT)),
        'event of a stream': (
            (CHUNKED, HEAD_END, chunk(b'id: 1\ndata: ')),
            chunk(FILLER * 4096),
        ),
        'tiny chunks of an event': (
            (CHUNKED, HEAD_END, chunk(b'id: 1\ndata: ')),
            chunk(FILLER),
        ),
    }
)


class Flood:
    """
    Answers with one part of an answer that has no end.
    """

    def __init__(self, part, bytes_per_s, piece_bytes):
        beginning, unit = PARTS[part]
        self._beginning = beginning
        self._piece = unit * max(1, piece_bytes // len(unit))
        self._pieces = max(1, bytes_per_s // WRITES_PER_S // len(self._piece))
        self._pause_s = len(self._piece) * self._pieces / bytes_per_s

    async def serve(self, reader, writer):
        """
        Answer requests for reports, and flood all others.
        """
        sock = writer.get_extra_info('socket')
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                path, fields = _parse(head)
                await reader.readexactly(int(fields.get('content-length', 0)))
                if path == '/report':
                    writer.write(_report())
                else:
                    writer.write(self._begin(fields))
                    await self._flood(writer)
        writer.transport.abort()

    def _begin(self, fields):
        if self._beginning is None:
            return b''
        request = fields.get('mallowcrank-request-id', '')
        head = (
            f'HTTP/1.1 200 OK\r\nMallowcrank-Request-Id: {request}\r\n'
            f'Mallowcrank-Response-Seal: seal.{request}\r\n'
        )
        return b''.join((head.encode(), *self._beginning))

    async def _flood(self, writer):
        loop = asyncio.get_running_loop()
        due_at = loop.time()
        while not writer.is_closing():
            for _ in range(self._pieces):
                writer.write(self._piece)
            await writer.drain()
            due_at = max(loop.time(), due_at + self._pause_s)
            await asyncio.sleep(due_at - loop.time())


def _parse(head):
    first, *rest = head.decode('latin-1').split('\r\n')
    pairs = (line.split(': ', 1) for line in rest if line)
    return first.split(' ')[1], {name.lower(): text for name, text in pairs}


def _report():
    layers = {'source': 0, 'to': 80, 'version': 1}
    body = json.dumps({'sequence': 0, 'pace': 1, 'layers': layers}).encode()
    return b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b' % (
        len(body),
        body,
    )


async def _run(flood):
    server = await asyncio.start_server(
        flood.serve, '127.0.0.1', 0, limit=2**20
    )
    sys.stdout.write(f'{server.sockets[0].getsockname()[1]}\n')
    sys.stdout.flush()
    await server.serve_forever()


if __name__ == '__main__':
    asyncio.run(_run(Flood(sys.argv[1], int(sys.argv[2]), int(sys.argv[3]))))
