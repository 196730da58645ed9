"""
Callers that send requests without end, as a process of its own. A connection
that the gateway closes is opened again.

Run as `python -m tests.utils.flooding_caller HOST PORT PART COUNT RATE PIECE`:
the part of a request that never ends, the number of connections, bytes per
second on each, and bytes a write.
"""

import asyncio
import sys
from contextlib import suppress
from types import MappingProxyType

WRITES_PER_S = 500
FILLER = b'x'
HEAD_END = b'\r\n'
CHUNKED = b'Transfer-Encoding: chunked\r\n'
HEAD = b'POST /lookup/x HTTP/1.1\r\nHost: shop.example\r\n'
REQUEST = b'GET /lookup/x HTTP/1.1\r\nHost: other.example\r\n\r\n'


def chunk(data):
    """
    Return a chunk of a body.
    """
    return b'%x\r\n%b\r\n' % (len(data), data)


# Of each part: what comes before it, and what is repeated.
PARTS = MappingProxyType(
    {
        'url': ((b'GET /',), FILLER),
        'header value': ((HEAD, b'Long: '), FILLER),
        'header name': ((HEAD, b'Long'), FILLER),
        'headers': ((HEAD,), b'Many: y\r\n'),
        'no HTTP': ((), b'no HTTP at all'),
        'body': ((HEAD, b'Content-Length: 1000000000000\r\n\r\n'), FILLER),
        'tiny chunks': ((HEAD, CHUNKED, HEAD_END), chunk(FILLER)),
        'chunk extension': ((HEAD, CHUNKED, HEAD_END, b'5;'), FILLER),
        'trailers': (
            (HEAD, CHUNKED, HEAD_END, b'0\r\n'),
            b'Trailer: y\r\n',
        ),
        'a trailer': ((HEAD, CHUNKED, HEAD_END, b'0\r\nTrailer: '), FILLER),
        'requests': ((), REQUEST),
    }
)


async def flood(host, port, part, bytes_per_s, piece_bytes):
    """
    Send one part of a request without end, again and again.
    """
    beginning, unit = PARTS[part]
    piece = unit * max(1, piece_bytes // len(unit))
    pieces = max(1, bytes_per_s // WRITES_PER_S // len(piece))
    pause_s = len(piece) * pieces / bytes_per_s
    loop = asyncio.get_running_loop()
    while True:
        with suppress(ConnectionError):
            _, writer = await asyncio.open_connection(host, port)
            writer.write(b''.join(beginning))
            due_at = loop.time()
            while not writer.is_closing():
                writer.write(piece * pieces)
                await writer.drain()
                due_at = max(loop.time(), due_at + pause_s)
                await asyncio.sleep(due_at - loop.time())
        await asyncio.sleep(1 / WRITES_PER_S)


async def _run(host, port, part, count, bytes_per_s, piece_bytes):
    await asyncio.gather(
        *(
            flood(host, port, part, bytes_per_s, piece_bytes)
            for _ in range(count)
        )
    )


if __name__ == '__main__':
    asyncio.run(
        _run(
            sys.argv[1], int(sys.argv[2]), sys.argv[3], *map(int, sys.argv[4:])
        )
    )
