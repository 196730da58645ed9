"""
HTTP/1.1 connections of callers, called channels: requests in, responses out.

A channel reads a request, serves the oldest request that was read, or is
idle. Responses go out in the order of the requests; a response can be written
only while its request is served.
"""

import asyncio
import socket
import struct
from collections import deque
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass
from http import HTTPStatus

import httptools

from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.gateway.desired import Limits
from mallowcrank.gateway.ports import Headers
from mallowcrank.gateway.receiving import (
    HEADER_OVERHEAD_BYTES,
    Part,
    ReceiveBudget,
    SlicedProtocol,
)

MAX_PIPELINED = 16  # requests read ahead on one channel
BODY_TIMEOUT_S = 10
HIGH_WATER_BYTES = 262_144  # unsent bytes at which relaying pauses
MAX_SYNTAX_BYTES = 32  # between headers, or after the target of a request
MAX_JOINED_BYTES = 65_536  # of a body that is written with its head at once

# Values of SO_LINGER: what closing a connection sends.
RESET_ON_CLOSE = struct.pack('ii', 1, 0)
FIN_ON_CLOSE = struct.pack('ii', 0, 0)

HTTP_VERSIONS = ('1.0', '1.1')
ERROR_RESPONSE = (
    b'HTTP/1.1 %d %b\r\nContent-Length: 0\r\nConnection: close\r\n\r\n'
)

# To requests that were read after a response had said `Connection: close`, or
# for which there is no memory; a caller may send them again, here or elsewhere,
# so they don't run here.
UNSERVED_RESPONSE = (
    b'HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n'
    b'Retry-After: 0.05\r\nConnection: close\r\n\r\n'
)

# Headers that apply to a single connection (RFC 9110, 7.6.1).
HOP_BY_HOP_HEADERS = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
        b'expect',
    )
)


def end_to_end_headers(headers: Headers) -> Headers:
    """
    Return the headers without the hop-by-hop ones.

    Headers that `Connection` names are hop-by-hop too.
    """
    dropped = set(HOP_BY_HOP_HEADERS)
    for name, field_value in headers:
        if name.lower() == b'connection':
            dropped.update(
                token.strip().lower() for token in field_value.split(b',')
            )
    return tuple(pair for pair in headers if pair[0].lower() not in dropped)


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """
    A request of a caller.

    :param target: path and query, unchanged.
    :param headers: without the hop-by-hop ones.
    :param received_at: monotonic time at which its first byte was received, in
        seconds.
    :param keep_alive: whether the caller keeps the connection for more.
    :param accepts_chunked: whether the response may be chunked (HTTP/1.1).
    """

    method: str
    target: bytes
    host: str
    headers: Headers
    body: bytes
    received_at: float
    keep_alive: bool
    accepts_chunked: bool

    @property
    def path(self) -> str:
        """
        Return the path without its query.
        """
        return self.target.partition(b'?')[0].decode('latin-1')

    @property
    def query(self) -> str:
        """
        Return the query.
        """
        return self.target.partition(b'?')[2].decode('latin-1')

    @property
    def size_bytes(self) -> int:
        """
        Return the memory that it takes.
        """
        headers = sum(
            len(name) + len(field_value) + HEADER_OVERHEAD_BYTES
            for name, field_value in self.headers
        )
        return len(self.target) + headers + len(self.body)


RequestHandler = Callable[[CallerRequest, 'ResponseWriter'], Awaitable[None]]
ErrorHandler = Callable[[CallerRequest, Exception], None]


class ResponseWriter:
    """
    Writes the response to one request.
    """

    def __init__(self, channel: 'CallerChannel', request: CallerRequest):
        self._channel = channel
        self._request = request
        self._has_begun = False
        self._has_ended = False

    @property
    def has_begun(self) -> bool:
        """
        Return whether the response head was written.
        """
        return self._has_begun

    @property
    def has_ended(self) -> bool:
        """
        Return whether the response is complete, aborted or undeliverable.
        """
        return self._has_ended or self._channel.is_lost

    def send(self, status: int, headers: Headers, body: bytes) -> None:
        """
        Write a complete response, unless one has begun.
        """
        if self._has_begun or self.has_ended:
            return
        length = (b'Content-Length', b'%d' % len(body))
        self._has_begun = True
        head = self._head(status, (*headers, length))
        body = self._allowed_body(body)
        if len(body) > MAX_JOINED_BYTES:
            self._write(head)
            self._write(body)
        else:
            self._write(head + body)
        self._end()

    def begin(self, status: int, headers: Headers) -> None:
        """
        Write the head of a streamed response.
        """
        if self._has_begun or self.has_ended:
            return
        self._has_begun = True
        if self._request.accepts_chunked:
            headers = (*headers, (b'Transfer-Encoding', b'chunked'))
        else:
            # Its only end is that of the connection, however that comes.
            self._channel.set_linger(RESET_ON_CLOSE)
        self._write(self._head(status, headers))

    def write(self, data: bytes) -> None:
        """
        Write a part of the body of a streamed response.
        """
        if self.has_ended or not data:
            return
        if self._request.accepts_chunked:
            data = b'%x\r\n%b\r\n' % (len(data), data)
        self._write(self._allowed_body(data))

    def finish(self) -> None:
        """
        End a streamed response that is complete.
        """
        if self.has_ended:
            return
        if self._request.accepts_chunked:
            self._write(self._allowed_body(b'0\r\n\r\n'))
        else:
            self._channel.set_linger(FIN_ON_CLOSE)
        self._end()

    def abort(self) -> None:
        """
        End the response so that the caller can't mistake it for complete.
        """
        if self._has_ended:
            return
        self._has_ended = True
        if self._request.accepts_chunked:
            # The missing last chunk shows that the response is incomplete.
            self._channel.close_after_answer()
        else:
            self._channel.abort()

    async def drain(self) -> None:
        """
        Wait while the caller reads too slowly.
        """
        await self._channel.drain()

    def _head(self, status: int, headers: Headers) -> bytes:
        lines = [b'HTTP/1.1 %d %b' % (status, _phrase(status))]
        lines.extend(b'%b: %b' % pair for pair in headers)
        if not self._keeps_alive():
            lines.append(b'Connection: close')
            self._channel.has_announced_close = True
        lines.append(b'\r\n')
        return b'\r\n'.join(lines)

    def _keeps_alive(self) -> bool:
        is_framed = self._request.accepts_chunked or not self._has_begun
        return (
            self._request.keep_alive
            and is_framed
            and not self._channel.closes_after_response
        )

    def _write(self, data: bytes) -> None:
        self._channel.write(data)

    def _allowed_body(self, data: bytes) -> bytes:
        # After a head that answers HEAD, the caller expects the next answer.
        return b'' if self._request.method == 'HEAD' else data

    def _end(self) -> None:
        self._has_ended = True
        if not self._keeps_alive():
            self._channel.close_after_answer()


def _phrase(status: int) -> bytes:
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b'Status'


class CallerChannels:
    """
    All channels of one listener and their shared state.

    :param serve: handles one request.
    :param limits: returns the limits in force.
    :param on_error: is called with a request and the error that its handler
        has raised.
    :param budget: for what the channels may hold; one of their own by default.
    :ivar is_draining: whether responses ask callers to close the connection.
    """

    def __init__(
        self,
        serve: RequestHandler,
        limits: Callable[[], Limits],
        on_error: ErrorHandler | None = None,
        budget: ReceiveBudget | None = None,
    ) -> None:
        self.limits = limits
        self.budget = budget or ReceiveBudget()
        self._handle = serve
        self._on_error = on_error or _ignore
        self.open: set[CallerChannel] = set()
        self.is_draining = False

    @property
    def busy_count(self) -> int:
        """
        Return the number of channels that read or serve a request.
        """
        return sum(1 for channel in self.open if not channel.is_idle)

    def new_channel(self) -> 'CallerChannel':
        """
        Return the protocol instance for a new connection.
        """
        return CallerChannel(self)

    async def serve(
        self, request: CallerRequest, response: ResponseWriter
    ) -> None:
        """
        Serve a request; answer it also if its handler raises an error.
        """
        try:
            await self._handle(request, response)
        except Exception as error:
            self._on_error(request, error)
            if response.has_begun:
                response.abort()
            else:
                response.send(HTTPStatus.INTERNAL_SERVER_ERROR, (), b'')

    def sweep(self) -> None:
        """
        Close channels that exceed their idle or read timeout.
        """
        now = monotonic_s()
        limits = self.limits()
        for channel in list(self.open):
            channel.check_time(now, limits)

    def abort_all(self) -> None:
        """
        Close all channels at once.
        """
        for channel in list(self.open):
            channel.abort()

    def cancel_all(self) -> None:
        """
        Cancel all requests that are served; their handlers may answer them.
        """
        for channel in list(self.open):
            channel.cancel()

    def close_idle(self) -> None:
        """
        Close the idle channels.
        """
        for channel in list(self.open):
            channel.close_if_idle()


class CallerChannel(SlicedProtocol):
    """
    One caller's connection.

    :ivar has_announced_close: whether a response has said that it is the last.
    :ivar is_lost: whether the connection is closed.
    """

    def __init__(self, shared: CallerChannels) -> None:
        super().__init__(shared.budget)
        self._shared = shared
        self._holding = self._budget.open(self.break_off)
        self._holding.measure = self._measure_held
        self._reader = _RequestReader(self)
        self._pending: deque[CallerRequest] = deque()
        self._serve_task: asyncio.Task[None] | None = None
        self._idle_since = monotonic_s()
        self._writable: asyncio.Future[None] | None = None
        self._is_closing = False
        self._is_aborted = False
        self._error_status = 0
        self.has_announced_close = False
        self.is_lost = False

    @property
    def closes_after_response(self) -> bool:
        """
        Return whether the next response is the last one: callers are asked to
        close, and no further request was read.
        """
        has_more = self._pending or self._error_status
        return self._shared.is_draining and not has_more

    @property
    def is_idle(self) -> bool:
        """
        Return whether no request is being read or served.
        """
        return not (self._serve_task or self._pending or self._reader.has_begun)

    @property
    def limits(self) -> Limits:
        """
        Return the limits in force.
        """
        return self._shared.limits()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """
        Register the new connection.
        """
        self._transport = transport
        peer = transport.get_extra_info('peername')
        self._holding.peer = peer[0] if peer else ''
        transport.set_write_buffer_limits(high=HIGH_WATER_BYTES)
        self._shared.open.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """
        Cancel the request that is served: the caller has disconnected.
        """
        self.is_lost = True
        self._shared.open.discard(self)
        self._pending.clear()
        self.resume_writing()
        self._holding.resize(0)
        self.cancel()

    def eof_received(self) -> bool:
        """
        Close on a half-close too: such a caller counts as disconnected.
        """
        return False

    def pause_writing(self) -> None:
        """
        Make `drain` wait: the caller reads too slowly.
        """
        self._writable = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """
        Let `drain` return.
        """
        if self._writable and not self._writable.done():
            self._writable.set_result(None)
        self._writable = None
        self._count_held()

    async def drain(self) -> None:
        """
        Wait while the caller reads too slowly.
        """
        if self._writable:
            await self._writable

    def data_received(self, data: bytes | memoryview) -> None:
        """
        Parse received bytes.
        """
        if self._is_closing or self._error_status:
            return
        status = self._reader.feed(data)
        if status:
            self._send_error(status)
        self._count_held()

    def break_off(self, part: Part) -> None:
        """
        Close the connection, as its caller holds too much; refuse the request
        that is being read, unless answers wait to be taken before.
        """
        self._holding.break_off(part)
        is_served = self._serve_task or self._unsent_bytes
        if is_served or not self._reader.has_begun:
            self.abort()
        else:
            self._reader.discard()
            self.write(UNSERVED_RESPONSE)
            self.close_after_answer()

    def accept(self, request: CallerRequest) -> None:
        """
        Serve a complete request, or queue it behind the one that is served.
        """
        self._pending.append(request)
        if len(self._pending) > MAX_PIPELINED:
            self.abort()
        elif not self._serve_task:
            self._serve_next()

    def write(self, data: bytes) -> None:
        """
        Write bytes of a response.
        """
        if self._transport and not self.is_lost:
            self._transport.write(data)
            self._count_held()

    def close_after_answer(self) -> None:
        """
        Close the connection once what was written is sent.
        """
        self._is_closing = True
        if self._transport:
            self._transport.close()

    def abort(self) -> None:
        """
        Reset the connection and discard what is not sent.
        """
        self._is_closing = True
        self._is_aborted = True
        self.set_linger(RESET_ON_CLOSE)
        if self._transport:
            self._transport.abort()

    def set_linger(self, option: bytes) -> None:
        """
        Choose whether closing the connection ends or resets it.
        """
        if self._transport is None or self.is_lost:
            return
        connection = self._transport.get_extra_info('socket')
        if connection is None:
            return
        # The connection may have been closed by now.
        with suppress(OSError):
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)

    def cancel(self) -> None:
        """
        Cancel the request that is served.
        """
        if self._serve_task:
            self._serve_task.cancel()

    def close_if_idle(self) -> None:
        """
        Close the connection if no request is being read or served.
        """
        if self.is_idle:
            self.close_after_answer()

    def check_time(self, now: float, limits: Limits) -> None:
        """
        Close the connection if the caller exceeds a timeout.

        :param now: monotonic time in seconds.
        """
        self._count_held()
        if self._serve_task or self._pending:
            return
        if not self._reader.has_begun:
            if now - self._idle_since > limits.idle_s:
                self.close_after_answer()
            return
        timeout_s = BODY_TIMEOUT_S if self._reader.has_head else limits.header_s
        if now - self._reader.began_at > timeout_s:
            self._send_error(HTTPStatus.REQUEST_TIMEOUT)

    @property
    def _unsent_bytes(self) -> int:
        return self._transport.get_write_buffer_size() if self._transport else 0

    def _count_held(self) -> None:
        if not self.is_lost:
            self._holding.resize(self._measure_held())

    def _measure_held(self) -> int:
        """
        Return the size of what the caller has sent and isn't served yet, and
        of what it has not taken of the answers.
        """
        if self._is_aborted:
            return 0
        waiting_bytes = sum(each.size_bytes for each in self._pending)
        return self._reader.held_bytes + waiting_bytes + self._unsent_bytes

    def _send_error(self, status: int) -> None:
        self._reader.discard()
        if self._serve_task:
            # The requests that were read before are answered first.
            self._error_status = status
            return
        self.write(ERROR_RESPONSE % (status, _phrase(status)))
        self.close_after_answer()

    def _serve_next(self) -> None:
        request = self._pending.popleft()
        self._count_held()
        response = ResponseWriter(self, request)
        self._serve_task = asyncio.get_running_loop().create_task(
            self._shared.serve(request, response)
        )
        self._serve_task.add_done_callback(self._on_served)

    def _on_served(self, task: asyncio.Task[None]) -> None:
        self._serve_task = None
        self._idle_since = monotonic_s()
        if self._is_closing:
            self.close_after_answer()
        elif self.has_announced_close:
            self.write(UNSERVED_RESPONSE * len(self._pending))
            self.close_after_answer()
        elif self._pending:
            self._serve_next()
        elif self._error_status:
            self._send_error(self._error_status)


def _ignore(request: CallerRequest, error: Exception) -> None:
    """
    Do nothing; the default handler of errors.
    """


class _RequestReader:
    """
    Assembles requests from the callbacks of the httptools parser.
    """

    def __init__(self, channel: CallerChannel) -> None:
        self._channel = channel
        self._parser = httptools.HttpRequestParser(self)
        self._limits = Limits()
        self.began_at = monotonic_s()
        self._reset()

    @property
    def held_bytes(self) -> int:
        """
        Return the size of what was read of the present request.
        """
        headers = len(self._headers) * HEADER_OVERHEAD_BYTES
        partial = self._head_bytes + self._unparsed_bytes
        return partial + headers + len(self._body)

    def feed(self, data: bytes | memoryview) -> int:
        """
        Parse bytes.

        :returns: the HTTP status of an error, or 0.
        """
        if not self.has_begun:
            self.began_at = monotonic_s()
            self._limits = self._channel.limits
            self.has_begun = True
        self._unparsed_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            return self._status or HTTPStatus.BAD_REQUEST
        except httptools.HttpParserUpgrade:
            return HTTPStatus.BAD_REQUEST
        self._check_head_size()
        return self._status

    def discard(self) -> None:
        """
        Release what was read of the present request.
        """
        self._headers.clear()
        self._body.clear()
        self._head_bytes = 0
        self._unparsed_bytes = 0

    def on_message_begin(self) -> None:
        """
        Start a request.
        """
        self.began_at = self.began_at if self.has_begun else monotonic_s()
        self.has_begun = True

    def on_url(self, data: bytes) -> None:
        """
        Add a part of the request target.
        """
        self._target += data
        self._count_head_bytes(len(data))

    def on_header(self, name: bytes, field_value: bytes) -> None:
        """
        Add a header.
        """
        self._headers.append((name, field_value))
        self._count_head_bytes(len(name) + len(field_value) + len(b': \r\n'))

    def on_headers_complete(self) -> None:
        """
        Check the head, and ask for the body if the caller expects that.
        """
        self.has_head = True
        self._unparsed_bytes = 0
        names = [name.lower() for name, _ in self._headers]
        version = self._parser.get_http_version()
        if names.count(b'host') != 1 or version not in HTTP_VERSIONS:
            self._status = HTTPStatus.BAD_REQUEST
        if b'expect' in names and not self._status:
            self._channel.write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def on_body(self, data: bytes) -> None:
        """
        Add a part of the body.
        """
        self._unparsed_bytes = 0
        if len(self._body) + len(data) > self._limits.body_bytes:
            self._status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
        else:
            self._body += data

    def on_message_complete(self) -> None:
        """
        Pass the complete request to the channel.
        """
        if self._status:
            return
        request = self._build_request()
        self._reset()
        self._channel.accept(request)

    def _build_request(self) -> CallerRequest:
        headers = tuple(self._headers)
        host = dict(
            (name.lower(), field_value) for name, field_value in headers
        )[b'host']
        return CallerRequest(
            method=self._parser.get_method().decode(),
            target=self._target,
            host=host.decode('latin-1').lower(),
            headers=end_to_end_headers(headers),
            body=bytes(self._body),
            received_at=self.began_at,
            keep_alive=self._parser.should_keep_alive(),
            accepts_chunked=self._parser.get_http_version() == '1.1',
        )

    def _count_head_bytes(self, added: int) -> None:
        self._head_bytes += added
        self._unparsed_bytes = 0
        self._check_head_size()

    def _check_head_size(self) -> None:
        """
        Check the head or the trailers, with what isn't complete of them.
        """
        partial_bytes = max(0, self._unparsed_bytes - MAX_SYNTAX_BYTES)
        if self._head_bytes + partial_bytes > self._limits.header_bytes:
            self._status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE

    def _reset(self) -> None:
        self.has_begun = False
        self.has_head = False
        self._status = 0
        self._target = b''
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = bytearray()
        self._head_bytes = 0
        self._unparsed_bytes = 0
