"""
A replica that writes scripted bytes, for answers that no server library sends.
"""

import asyncio
import json
import socket
import struct
from contextlib import suppress

from mallowcrank.gateway.settings import Address
from mallowcrank.platform.standins.bodies import entry_body

RESET = object()  # a piece of an answer that resets the channel
DEAF = object()  # a piece after which no more is read of the channel
MIN_BUFFER_BYTES = 1  # the kernel takes its smallest receive buffer instead
NO_LINGER = struct.pack('ii', 1, 0)  # closing sends RST


class RawReplica:
    """
    A replica that answers each request with the bytes that a script yields.

    :param script: takes the number of a request on its channel, from 1, and
        its headers by name; returns the pieces of the answer. A piece of None
        closes the channel, `RESET` resets it; after `DEAF` no more is read, and
        little is acknowledged; a number is a pause in seconds.
    """

    def __init__(self, identity, service, script, **fields):
        self.identity = identity
        self.requests = []
        self.address = None
        self._service = service
        self._script = script
        self._fields = fields
        self._server = None
        self._writers = []

    async def listen(self, is_deaf=False):
        """
        Listen.

        :param is_deaf: whether receive buffers are the smallest possible.
        """
        listener = socket.create_server(('127.0.0.1', 0))
        if is_deaf:
            listener.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, MIN_BUFFER_BYTES
            )
        self._server = await asyncio.start_server(
            self._serve, sock=listener, limit=2**20
        )
        self.address = Address(*listener.getsockname()[:2])

    async def start(self, world, is_deaf=False):
        """
        Listen, and write an entry to the store.
        """
        await self.listen(is_deaf)
        entry = entry_body(
            service=self._service, address=str(self.address), **self._fields
        )
        world.store.put(
            'keyed.servers', self.identity, json.dumps(entry).encode()
        )

    def stop(self):
        """
        Stop listening, and reset all channels.
        """
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.append(writer)
        count = 0
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                method, path, fields = _parse(head)
                await reader.readexactly(int(fields.get('content-length', 0)))
                if path == '/report':
                    writer.write(_report(self._fields))
                    continue
                count += 1
                self.requests.append((method, path, fields))
                for piece in self._script(count, fields):
                    if piece is None:
                        writer.close()
                        return
                    if piece is RESET:
                        await _reset(writer)
                        return
                    if piece is DEAF:
                        writer.transport.pause_reading()
                    elif isinstance(piece, bytes):
                        writer.write(piece)
                    else:
                        await writer.drain()
                        await asyncio.sleep(piece)
        writer.close()


def answer(fields, status='200 OK', body=b'', extra=(), seal=True):
    """
    Return a complete answer to a request.

    :param fields: headers of the request by name.
    """
    lines = [f'HTTP/1.1 {status}', f'Content-Length: {len(body)}', *extra]
    request = fields.get('mallowcrank-request-id')
    if request:
        lines.append(f'Mallowcrank-Request-Id: {request}')
    if seal:
        lines.append(f'Mallowcrank-Response-Seal: seal.{request}')
    return '\r\n'.join((*lines, '', '')).encode() + body


def refusal(fields, at_fault=''):
    """
    Return a refusal of a request, which was not run.

    :param at_fault: address of the replica for which it is refused.
    """
    extra = ['Mallowcrank-Not-Executed: 1']
    if at_fault:
        extra.append(f'At-Server: {at_fault}')
    return answer(fields, '503 Service Unavailable', extra=extra, seal=False)


async def _reset(writer):
    await writer.drain()
    sock = writer.get_extra_info('socket')
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    writer.transport.abort()


def _parse(head):
    first, *rest = head.decode('latin-1').split('\r\n')
    method, path, _ = first.split(' ')
    pairs = (line.partition(': ') for line in rest if line)
    return method, path, {name.lower(): value for name, _, value in pairs}


def _report(fields):
    body = json.dumps(
        {'sequence': 0, 'pace': 1, 'layers': fields.get('layers')}
    ).encode()
    return b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b' % (
        len(body),
        body,
    )
