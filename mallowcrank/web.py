"""
A small HTTP server on cheroot.
"""

import json
import select
import socket
import threading
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from functools import partial
from http import HTTPStatus
from typing import Any, BinaryIO
from urllib.parse import parse_qsl, urlsplit

from cheroot.wsgi import Gateway_10

from mallowcrank.bounded_reading import MessageTooLongError, read_body
from mallowcrank.bounded_server import (
    MAX_HEAD_BYTES,
    QueuedConnection,
    QueueingServer,
    ReadLimits,
)

MAX_BODY_BYTES = 4 * 1024 * 1024
DISCARD_CHUNK_BYTES = 64 * 1024
JSON_TYPE = ('Content-Type', 'application/json')
SOCKET_KEY = 'mallowcrank.connection'
HTTP_1_1 = 'HTTP/1.1'
REQUEST_KEY = 'mallowcrank.request'
WAITED_S_KEY = 'mallowcrank.waited_s'
# Show that the caller closed its side without reading from the socket.
CLOSE_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR

Body = bytes | Iterable[bytes]


@dataclass(frozen=True)
class CallerConnection:
    """
    The connection of a request.

    :param sock: its socket, or `None` if there is none to watch.
    :param accepts_chunks: whether a body of unknown length is sent in chunks.
    """

    sock: socket.socket | None = None
    accepts_chunks: bool = False

    def is_closed(self) -> bool:
        """
        Return whether the caller closed its side.

        Bytes that it sent before stay unread.
        """
        if self.sock is None:
            return False
        fd = self.sock.fileno()
        if fd < 0:
            return True
        poller = select.poll()
        poller.register(fd, CLOSE_EVENTS)
        return bool(poller.poll(0))


NO_CONNECTION = CallerConnection()


@dataclass(frozen=True)
class Request:
    """
    One HTTP request with its whole body.

    :param headers: the headers by lower-case name.
    :param too_large: whether the body exceeded the limit and was discarded.
    :param target: the path and query as they were sent.
    :param peer: `IP:PORT` of the other end of the connection.
    :param caller: the connection, to check that the caller still waits.
    :param waited_s: seconds that the request waited for a thread.
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

        :raises ValueError: when the body is not valid JSON.
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
    Dispatches requests by method and longest path prefix.

    A prefix that does not end in a slash matches the whole path only.
    """

    def __init__(self) -> None:
        self._handlers: list[tuple[str, str, Handler]] = []

    def __call__(self, request: Request) -> Response:
        """
        Answer a request.
        """
        path_exists = False
        for method, prefix, handler in self._handlers:
            if not _matches(prefix, request.path):
                continue
            path_exists = True
            if method in {'*', request.method}:
                return handler(request)
        status = HTTPStatus.METHOD_NOT_ALLOWED if path_exists else 404
        return json_response({'error': {'message': 'no such path'}}, status)

    def add(self, method: str, prefix: str, handler: Handler) -> None:
        """
        Add a handler.

        :param method: the HTTP method; `*` matches any.
        """
        self._handlers.append((method, prefix, handler))
        self._handlers.sort(key=lambda entry: -len(entry[1]))


def _matches(prefix: str, path: str) -> bool:
    if prefix.endswith('/'):
        return path.startswith(prefix)
    return path == prefix


class ConnectionGateway(Gateway_10):
    """
    Adds the connection's socket and waiting time to the WSGI environment.
    """

    def __init__(self, request: Any) -> None:
        super().__init__(request)
        self.env[SOCKET_KEY] = request.conn.socket
        self.env[REQUEST_KEY] = request
        self.env[WAITED_S_KEY] = request.conn.waited_s


class WebServer:
    """
    An HTTP server with a pool of threads.

    :param address: `IP:PORT`; port 0 selects a free port.
    :param handler: answers requests in any thread of the pool.
    :param threads: the maximum of concurrent requests.
    :param max_body_bytes: the size of the largest body that is read.
    :param limits: of a request, whether its body is read or discarded.
    """

    def __init__(
        self,
        address: str,
        handler: Handler,
        threads: int = 16,
        max_body_bytes: int = MAX_BODY_BYTES,
        limits: ReadLimits = ReadLimits(),
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
        self._server.max_request_header_size = MAX_HEAD_BYTES
        self._server.read_limits = limits
        self._server.gateway = ConnectionGateway
        self._server.ConnectionClass = QueuedConnection
        self._thread: threading.Thread | None = None

    @property
    def address(self) -> str:
        """
        Return the server's address.
        """
        host, port = self._server.bind_addr[:2]
        return f'{host}:{port}'

    @property
    def waiting(self) -> int:
        """
        Return the number of connections that wait for a thread.
        """
        return int(self._server.requests.qsize)

    def start(self) -> None:
        """
        Bind the address and serve in the background.

        :raises OSError: when the address can't be bound.
        """
        self._server.prepare()
        self._thread = threading.Thread(target=self._server.serve, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """
        Stop accepting connections, finish requests in flight, and close.
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
        body = self._read_body(environ)
        return Request(
            method=environ['REQUEST_METHOD'],
            path=environ['PATH_INFO'],
            query=dict(parse_qsl(environ.get('QUERY_STRING', ''))),
            headers=_headers(environ),
            body=body or b'',
            too_large=body is None,
            target=_target(environ),
            peer=f'{environ["REMOTE_ADDR"]}:{environ["REMOTE_PORT"]}',
            caller=CallerConnection(
                environ[SOCKET_KEY],
                accepts_chunks=environ['ACTUAL_SERVER_PROTOCOL'] == HTTP_1_1
                and environ['SERVER_PROTOCOL'] == HTTP_1_1,
            ),
            waited_s=environ[WAITED_S_KEY],
        )

    def _read_body(self, environ: dict[str, Any]) -> bytes | None:
        """
        Return a request's body, or `None` if it is too large.

        :raises OSError: if it doesn't come in time.
        """
        length = int(environ.get('CONTENT_LENGTH') or 0)
        request, stream = environ[REQUEST_KEY], environ['wsgi.input']
        if request.chunked_read:
            request.conn.limit_chunks()
        body = None
        if length <= self._max_body_bytes:
            body = _read_within(stream, self._max_body_bytes)
        if body is None and not _discard(stream):
            request.close_connection = True
        request.conn.restore_timeout()
        return body


def _target(environ: Mapping[str, Any]) -> str:
    parts = urlsplit(environ.get('REQUEST_URI', ''))
    return f'{parts.path}?{parts.query}' if parts.query else parts.path


def _read_within(stream: BinaryIO, max_bytes: int) -> bytes | None:
    try:
        return read_body(stream, max_bytes)
    except MessageTooLongError:
        return None


def _discard(stream: BinaryIO) -> bool:
    """
    Read the body, as closing the connection earlier would reset it before the
    caller reads the answer.

    :returns: whether it has ended within the limits of a request.
    """
    try:
        deque(iter(partial(stream.read, DISCARD_CHUNK_BYTES), b''), maxlen=0)
    except MessageTooLongError:
        return False
    return True


def _headers(environ: Mapping[str, Any]) -> dict[str, str]:
    headers = {
        name[5:].replace('_', '-').lower(): value
        for name, value in environ.items()
        if name.startswith('HTTP_')
    }
    headers['content-type'] = environ.get('CONTENT_TYPE', '')
    return headers


def _status_line(status: int) -> str:
    return f'{status} {HTTPStatus(status).phrase}'
