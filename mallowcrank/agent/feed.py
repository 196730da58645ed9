"""
The feed: a connection from each router of a host to its agent.

The agent sends a snapshot of the view and then each change.
"""

import socket
import threading
from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import Any

from pykka import ThreadingActor

from mallowcrank.actors import keep_running
from mallowcrank.agent.changes import find_changes, without_settings
from mallowcrank.agent.ports import MembershipPort
from mallowcrank.codec import to_plain
from mallowcrank.config.effective import EffectiveSettings
from mallowcrank.framing import FramedSocket
from mallowcrank.logs import PartLog
from mallowcrank.view import View
from mallowcrank.wire import BadFrameError, KeyRing

MAX_QUEUED_FRAMES = 256  # per router; beyond that it has to reconnect
MESSAGE_ERRORS = (BadFrameError, KeyError, TypeError, ValueError)

Body = Mapping[str, Any]
log = PartLog('feed')


class RouterConnection(FramedSocket):
    """
    A connection from a router.

    :param router: the router's name; empty before its `hello`.
    :param version: the settings version in force on the router.
    :param has_newer_settings: whether the router's settings are newer than
        the agent's.
    """

    def __init__(self, sock: socket.socket, keys: KeyRing) -> None:
        super().__init__(sock, keys, MAX_QUEUED_FRAMES)
        self.router = ''
        self.version = -1
        self.has_newer_settings = False


class FeedActor(ThreadingActor):
    """
    Keeps the view and sends its changes to all connected routers.
    """

    def __init__(self, membership: MembershipPort) -> None:
        super().__init__()
        self._membership = membership
        self._view = View()
        self._connections: list[RouterConnection] = []
        self._is_closing = False

    @keep_running(log)
    def update_settings(self, effective: EffectiveSettings) -> None:
        """
        Replace the settings in the view.
        """
        self._update_view(
            replace(
                self._view,
                version=effective.version,
                models=effective.models,
                services=effective.services,
                workspaces=effective.workspaces,
            )
        )

    def update_members(self) -> None:
        """
        Read targets and peers from membership into the view.
        """
        self._update_view(
            replace(
                self._view,
                targets=self._membership.targets(),
                peers=self._membership.peers(),
            )
        )

    @keep_running(log)
    def connect(self, connection: RouterConnection, hello: Body) -> None:
        """
        Add a connection: send a snapshot now and changes afterwards.

        A router with newer settings keeps them: until this agent has caught
        up, the router gets targets and peers only.
        """
        self._membership.apply_report(hello)
        self._connections.append(connection)
        connection.has_newer_settings = connection.version > self._view.version
        if connection.has_newer_settings:
            full_change = find_changes(View(), self._view)
            connection.send(without_settings(full_change))
        else:
            self._send_snapshot(connection)

    @keep_running(log)
    def disconnect(self, connection: RouterConnection) -> None:
        """
        Remove a connection.

        Reports its router as lost if that was the router's last connection.
        """
        connection.finish()
        if connection not in self._connections:
            return
        self._connections.remove(connection)
        connected = {each.router for each in self._connections}
        if connection.router not in connected and not self._is_closing:
            lost = {'type': 'lost', 'router': connection.router}
            self._membership.apply_report({**lost, 'leaving': True})

    @keep_running(log)
    def send_heartbeat(self, age_s: float) -> None:
        """
        Send a heartbeat to all routers.

        :param age_s: seconds since the settings were last confirmed.
        """
        self._broadcast(
            {'type': 'beat', 'version': self._view.version, 'age_s': age_s}
        )

    def close(self) -> None:
        """
        Close all connections. The routers keep running.
        """
        self._is_closing = True
        for connection in self._connections:
            connection.abort()

    # Queries

    def view(self) -> View:
        """
        Return the current view.
        """
        return self._view

    def routers(self) -> dict[str, int]:
        """
        Return the settings version in force by connected router.
        """
        return {each.router: each.version for each in self._connections}

    def _update_view(self, view: View) -> None:
        changes = find_changes(self._view, view)
        self._view = view
        if not changes:
            return
        for connection in tuple(self._connections):
            if not connection.has_newer_settings:
                connection.send(changes)
            elif view.version >= connection.version:
                connection.has_newer_settings = False
                self._send_snapshot(connection)
            else:
                connection.send(without_settings(changes))

    def _send_snapshot(self, connection: RouterConnection) -> None:
        connection.send({'type': 'snapshot', 'view': to_plain(self._view)})

    def _broadcast(self, body: Body) -> None:
        for connection in tuple(self._connections):
            connection.send(body)


class FeedServer:
    """
    Accepts connections from routers.

    :param address: `IP:PORT` to listen on.
    :param feed: a proxy of the `FeedActor`.
    :param on_report: called with each message of a router but `hello`.
    """

    def __init__(
        self,
        address: str,
        keys: KeyRing,
        feed: Any,
        on_report: Callable[[Body], None],
    ) -> None:
        host, _, port = address.rpartition(':')
        self._bind_address = (host, int(port))
        self._keys = keys
        self._feed = feed
        self._on_report = on_report
        self._listener: socket.socket | None = None

    @property
    def address(self) -> str:
        """
        Return the address that the server listens on.
        """
        host, port = self._listener.getsockname()[:2]
        return f'{host}:{port}'

    def start(self) -> None:
        """
        Bind the address and accept connections in a thread.

        :raises OSError: when the address can't be bound.
        """
        self._listener = socket.create_server(self._bind_address)
        threading.Thread(target=self._accept, daemon=True).start()

    def stop(self) -> None:
        """
        Stop accepting connections.
        """
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            connection = RouterConnection(sock, self._keys)
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection: RouterConnection) -> None:
        try:
            for body in connection.bodies():
                self._handle_message(connection, body)
        except MESSAGE_ERRORS as error:
            log.say(
                'A router sent an invalid frame or message.', error=repr(error)
            )
        log.say('A router disconnected.', router=connection.router)
        self._feed.disconnect.defer(connection)
        connection.abort()

    def _handle_message(self, connection: RouterConnection, body: Body) -> None:
        connection.version = int(body.get('version', connection.version))
        if body['type'] == 'hello':
            connection.router = str(body['router'])
            log.say('A router connected.', router=connection.router)
            self._feed.connect.defer(connection, body)
            return
        self._on_report(body)
