"""
A small HTTP server for stand-ins.
"""

import asyncio

from mallowcrank.gateway.caller_channel import CallerChannels, RequestHandler
from mallowcrank.gateway.desired import Limits
from mallowcrank.gateway.settings import Address

LIMITS = Limits(idle_s=60)


class StandinServer:
    """
    Serves requests on an address until it is stopped.
    """

    def __init__(self, serve: RequestHandler) -> None:
        self._channels = CallerChannels(serve, self._limits)
        self._server: asyncio.Server | None = None
        self.address = Address('127.0.0.1', 0)

    @property
    def busy_channels(self) -> int:
        """
        Return the number of channels that read or serve a request.
        """
        return self._channels.busy_count

    async def start(self, address: Address) -> None:
        """
        Start to listen; port 0 selects a free port.
        """
        self._server = await asyncio.get_running_loop().create_server(
            self._channels.new_channel, address.ip, address.port
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = Address(address.ip, port)

    def stop(self) -> None:
        """
        Close the server and abort all channels, as if the process was killed.
        """
        if self._server:
            self._server.close()
        self.abort_channels()

    def abort_channels(self) -> None:
        """
        Reset all open channels.
        """
        for channel in list(self._channels.open):
            channel.abort()

    def _limits(self) -> Limits:
        return LIMITS
