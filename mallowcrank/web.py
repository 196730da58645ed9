"""
A small HTTP server on cheroot: requests in, responses out.
"""

import json
import select
import socket
import threading
import time
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any, BinaryIO
from urllib.parse import parse_qsl, urlsplit

from cheroot.server import HTTPConnection
from cheroot.wsgi import Gateway_10, Server

MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_DISCARDED_BYTES = 64 * 1024 * 1024  # of a body over the limit
DISCARD_CHUNK_BYTES = 64 * 1024
JSON_TYPE = ('Content-Type', 'application/json')
SOCKET_KEY = 'mallowcrank.connection'
HTTP_1_1 = 'HTTP/1.1'
WAITED_S_KEY = 'mallowcrank.waited_s'
# Of them, an end of the caller's side is seen without reading from it.
CLOSE_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR

Body = bytes | Iterable[bytes]


@dataclass(frozen=True)
class CallerConnection:
    """
    The connection that a request came over.

    :param connection: its socket, or `None` where there is none to look at.
    :param takes_chunks: whether a body of unknown length goes out in chunks.
    """

    sock: socket.socket | None = None
    accepts_chunks: bool = False

    def is_closed(self) -> bool:
        """
        Tell whether the caller has closed its side; what it may have sent
        stays unread.
        """
        if self.sock is None:
            return False
        number = self.sock.fileno()
        if number < 0:
            return True
        look = select.poll()
        look.register(number, CLOSE_EVENTS)
        return bool(look.poll(0))


NO_CONNECTION = CallerConnection()


@dataclass(frozen=True)
class Request:
    """
    One HTTP request, read whole.

    :param target: the path and query, as they were sent.
    :param headers: by lower-case name.
    :param peer: `IP:PORT` of the other end of the connection.
    :param too_large: whether the body was over the limit and was not read.
    :param caller: tells whether the caller still waits.
    :param waited_s: seconds that it waited for a thread.
    """

    method: str
    path: str
    query: Mapping[str, str] = field(default_factory=dict)
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b''
    too_large: bool = False
    target: str = ''
    peer: str = ''
    caller: CallerConnection = NO_CONNECTION
    waited_s: float = 0

    def json(self) -> Any:
        """
        Return the body as JSON.

        :raises ValueError: when it is malformed.
        """
        return json.loads(self.body)


@dataclass(frozen=True)
class Response:
    """
    One HTTP response; an iterable body is sent in chunks.
    """

    status: int
    body: Body = b''
    headers: tuple[tuple[str, str], ...] = ()


Handler = Callable[[Request], Response]


def json_response(
    payload: Any,
    status: int = HTTPStatus.OK,
    headers: tuple[tuple[str, str], ...] = (),
) -> Response:
    """
    Build a JSON response.
    """
    return Response(status, json.dumps(payload).encode(), (JSON_TYPE, *headers))


class Routes:
    """
    Finds the handler of a request by method and longest path prefix.
    """

    def __init__(self) -> None:
        self._handlers: list[tuple[str, str, Handler]] = []

    def __call__(self, request: Request) -> Response:
        """
        Answer a request.
        """
        known = False
        for method, prefix, handler in self._handlers:
            if not _matches(prefix, request.path):
                continue
            known = True
            if method in {'*', request.method}:
                return handler(request)
        status = HTTPStatus.METHOD_NOT_ALLOWED if known else 404
        return json_response({'error': {'message': 'no such path'}}, status)

    def add(self, method: str, prefix: str, handler: Handler) -> None:
        """
        Add a handler; `*` stands for any method.
        """
        self._handlers.append((method, prefix, handler))
        self._handlers.sort(key=lambda entry: -len(entry[1]))


def _matches(prefix: str, path: str) -> bool:
    if prefix.endswith('/'):
        return path.startswith(prefix)
    return path == prefix


class QueuedConnection(HTTPConnection):
    """
    A connection that knows how long it waited for a thread.
    """

    queued_at: float = 0
    waited_s: float = 0

    def communicate(self) -> bool:
        """
        Read a request and answer it, in a thread of the pool.
        """
        self.waited_s = time.monotonic() - self.queued_at
        return bool(super().communicate())


class QueueingServer(Server):
    """
    Notes when a connection begins to wait for a thread.
    """

    def process_conn(self, conn: QueuedConnection) -> None:
        """
        Queue a connection that has something to read.
        """
        conn.queued_at = time.monotonic()
        super().process_conn(conn)


class ConnectionGateway(Gateway_10):
    """
    Hands the connection's socket and its wait on with a request.
    """

    def __init__(self, request: Any) -> None:
        super().__init__(request)
        self.env[SOCKET_KEY] = request.conn.socket
        self.env[WAITED_S_KEY] = request.conn.waited_s


class WebServer:
    """
    Serves a handler on an address from a pool of threads.

    :param address: `IP:PORT`; port 0 takes a free one.
    :param threads: concurrent requests.
    """

    def __init__(
        self,
        address: str,
        handler: Handler,
        threads: int = 16,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        self._handler = handler
        self._max_body_bytes = max_body_bytes
        host, _, port = address.rpartition(':')
        self._server = QueueingServer(
            (host, int(port)),
            self._wsgi,
            numthreads=threads,
            server_name='mallowcrank',
            request_queue_size=512,
        )
        self._server.gateway = ConnectionGateway
        self._server.ConnectionClass = QueuedConnection
        self._thread: threading.Thread | None = None

    @property
    def address(self) -> str:
        """
        Return the address that is served.
        """
        host, port = self._server.bind_addr[:2]
        return f'{host}:{port}'

    @property
    def waiting(self) -> int:
        """
        Return the connections that wait for a thread.
        """
        return int(self._server.requests.qsize)

    def start(self) -> None:
        """
        Bind the address and serve in a thread.

        :raises OSError: when the address can't be bound.
        """
        self._server.prepare()
        self._thread = threading.Thread(target=self._server.serve, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """
        Stop accepting, let requests in flight finish, and close.
        """
        self._server.stop()

    def _wsgi(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        response = self._handler(self._read_request(environ))
        start_response(_status_line(response.status), list(response.headers))
        if isinstance(response.body, bytes):
            return [response.body]
        return response.body

    def _read_request(self, environ: dict[str, Any]) -> Request:
        length = int(environ.get('CONTENT_LENGTH') or 0)
        stream = environ['wsgi.input']
        body = b''
        if length <= self._max_body_bytes:
            body = stream.read(self._max_body_bytes + 1)
        too_large = max(length, len(body)) > self._max_body_bytes
        if too_large:
            _discard(stream)
        return Request(
            method=environ['REQUEST_METHOD'],
            path=environ['PATH_INFO'],
            query=dict(parse_qsl(environ.get('QUERY_STRING', ''))),
            headers=_headers(environ),
            body=b'' if too_large else body,
            too_large=too_large,
            target=_target(environ),
            peer=f'{environ["REMOTE_ADDR"]}:{environ["REMOTE_PORT"]}',
            caller=CallerConnection(
                environ[SOCKET_KEY],
                accepts_chunks=environ['ACTUAL_SERVER_PROTOCOL'] == HTTP_1_1
                and environ['SERVER_PROTOCOL'] == HTTP_1_1,
            ),
            waited_s=environ[WAITED_S_KEY],
        )


def _target(environ: Mapping[str, Any]) -> str:
    parts = urlsplit(environ.get('REQUEST_URI', ''))
    return f'{parts.path}?{parts.query}' if parts.query else parts.path


def _discard(stream: BinaryIO) -> None:
    """
    Read on, so that the caller gets the answer and not a reset connection.
    """
    left = MAX_DISCARDED_BYTES
    while left > 0 and stream.read(DISCARD_CHUNK_BYTES):
        left -= DISCARD_CHUNK_BYTES


def _headers(environ: Mapping[str, Any]) -> dict[str, str]:
    headers = {
        name[5:].replace('_', '-').lower(): given
        for name, given in environ.items()
        if name.startswith('HTTP_')
    }
    headers['content-type'] = environ.get('CONTENT_TYPE', '')
    return headers


def _status_line(status: int) -> str:
    return f'{status} {HTTPStatus(status).phrase}'
