"""
The client of the agent's feed: receives views and sends reports.
"""

import socket
import threading
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

from cattrs import BaseValidationError

from mallowcrank.changes import ViewChanges, compare_views, parse_changes
from mallowcrank.logs import PartLog
from mallowcrank.requests.key_ownership import RouterId
from mallowcrank.router.folding import fold_change, fold_snapshot
from mallowcrank.router.view_store import ViewStore
from mallowcrank.settings import RouterSettings
from mallowcrank.view import View
from mallowcrank.wire import BadFrameError, FrameReader, pack_frame

CONNECT_TIMEOUT_S = 1
MAX_FEED_SILENCE_S = 3  # the agent sends a heartbeat each second
RECONNECT_DELAY_S = 0.2
REPORT_INTERVAL_S = 1
RECEIVE_BYTES = 64 * 1024
FEED_ERRORS = (
    OSError,
    BadFrameError,
    BaseValidationError,
    AttributeError,
    KeyError,
    TypeError,
    ValueError,
)


@dataclass(frozen=True)
class FeedPorts:
    """
    The state and callbacks that the feed uses.

    :param apply_view: passes a new view and its changes to all parts.
    :param make_report: returns the report without its type.
    """

    view_store: ViewStore
    apply_view: Callable[[View, ViewChanges], None]
    make_report: Callable[[], dict[str, Any]]


class FeedClient:
    """
    Keeps a connection to the agent, and reconnects when it is lost. Meanwhile,
    the router uses the last view.
    """

    def __init__(
        self, settings: RouterSettings, me: RouterId, ports: FeedPorts
    ) -> None:
        self._settings = settings
        self._me = me
        self._ports = ports
        self._log = PartLog('router')
        self._connection: socket.socket | None = None
        self._stopped = threading.Event()
        self._wake = threading.Event()

    def start(self) -> None:
        """
        Start to read and to report, each in a thread of its own.
        """
        for loop in (self._read_loop, self._report_loop):
            threading.Thread(target=loop, daemon=True).start()

    def stop(self) -> None:
        """
        Stop both threads.
        """
        self._stopped.set()
        self._wake.set()

    def report_now(self) -> None:
        """
        Send a report at once.
        """
        self._wake.set()

    def _read_loop(self) -> None:
        while not self._stopped.is_set():
            try:
                self._read_feed()
            except FEED_ERRORS as error:
                self._log.say('Agent feed failed', error=repr(error))
            self._connection = None
            self._stopped.wait(RECONNECT_DELAY_S)

    def _read_feed(self) -> None:
        host, _, port = self._settings.feed.rpartition(':')
        with socket.create_connection(
            (host, int(port)), CONNECT_TIMEOUT_S
        ) as connection:
            connection.settimeout(MAX_FEED_SILENCE_S)
            connection.sendall(pack_frame(self._hello(), self._settings.keys))
            self._connection = connection
            self._wake.set()
            for message in self._messages(connection):
                self._handle_message(message)

    def _messages(self, connection: socket.socket) -> Iterator[dict[str, Any]]:
        reader = FrameReader(self._settings.keys)
        while not self._stopped.is_set():
            received = connection.recv(RECEIVE_BYTES)
            if not received:
                raise ConnectionError('the agent closed the feed')
            yield from reader.feed(received)

    def _handle_message(self, message: dict[str, Any]) -> None:
        kind = message.get('type')
        view = self._ports.view_store.view
        if kind == 'snapshot':
            folded = fold_snapshot(view, message)
            self._ports.apply_view(folded, compare_views(view, folded))
        elif kind == 'change':
            folded = fold_change(view, message)
            self._ports.apply_view(folded, parse_changes(message))
        else:
            self._ports.view_store.record_contact()
        if self._ports.view_store.view.version != view.version:
            self._wake.set()

    def _report_loop(self) -> None:
        while not self._stopped.is_set():
            self._wake.wait(REPORT_INTERVAL_S)
            self._wake.clear()
            connection = self._connection
            if connection is None:
                continue
            report = {
                'type': 'report',
                'version': self._ports.view_store.view.version,
                **self._ports.make_report(),
            }
            try:
                connection.sendall(pack_frame(report, self._settings.keys))
            except OSError as error:
                self._log.say('Report was not sent', error=str(error))

    def _hello(self) -> dict[str, Any]:
        return {
            'type': 'hello',
            'router': self._me.name,
            'incarnation': self._me.incarnation,
            'address': self._settings.listen,
            'availability_zone': self._settings.host_settings.availability_zone,
            'version': self._ports.view_store.view.version,
        }
