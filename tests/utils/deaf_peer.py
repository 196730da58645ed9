"""
A replica whose channels die after one answer, without a sign.
"""

import asyncio
import json
import socket
from contextlib import suppress

from mallowcrank.gateway.settings import Address
from mallowcrank.platform.standins.bodies import entry_body
from tests.utils.raw_replica import answer

RECEIVE_BUFFER_BYTES = 1  # the kernel takes its smallest instead


class DeafPeer:
    """
    A replica that reads no more of a channel once it has answered there.

    Its receive buffers are small, so that little is acknowledged of what is
    sent to it then. New channels work.

    :param identity: empty for a peer that isn't in the store.
    :ivar request_count: number of requests that it has answered.
    """

    def __init__(self, identity='', service='stock'):
        self.identity = identity
        self.address = None
        self.request_count = 0
        self._service = service
        self._server = None
        self._writers = []

    async def start(self, world=None):
        """
        Listen, and write an entry to the store, if there is one.
        """
        listener = socket.create_server(('127.0.0.1', 0))
        listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self._server = await asyncio.start_server(self._serve, sock=listener)
        self.address = Address(*listener.getsockname()[:2])
        if world:
            entry = entry_body(service=self._service, address=str(self.address))
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
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b'\r\n\r\n')
            lines = head.decode('latin-1').split('\r\n')[1:]
            pairs = (line.partition(': ') for line in lines if line)
            fields = {name.lower(): text for name, _, text in pairs}
            await reader.readexactly(int(fields.get('content-length', 0)))
            self.request_count += 1
            writer.transport.pause_reading()
            writer.write(answer(fields, body=b'whole'))
