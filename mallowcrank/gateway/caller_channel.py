"""
One caller's channel: requests in, answers out, in order.

A channel is in one state at a time: it reads a request's head or body, it
serves the oldest request that it has read, or it is idle. An answer can be
written only while its request is served.
"""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from http import HTTPStatus

import httptools

from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.gateway.desired import Limits
from mallowcrank.gateway.ports import Headers

MOST_PIPELINED = 16  # requests read ahead on one channel
BODY_S = 10  # for a body to arrive
HIGH_WATER_BYTES = 262_144  # unsent bytes at which a relay waits

VERSIONS = ('1.0', '1.1')
REFUSAL = b'HTTP/1.1 %d %b\r\nContent-Length: 0\r\nConnection: close\r\n\r\n'

# Headers that concern one channel only (RFC 9110, 7.6.1).
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
    Return the headers that concern more than one channel.
    """
    named = set(HOP_BY_HOP_HEADERS)
    for name, given in headers:
        if name.lower() == b'connection':
            named.update(token.strip().lower() for token in given.split(b','))
    return tuple(pair for pair in headers if pair[0].lower() not in named)


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """
    A request as it was read.

    :param target: path and query, unchanged.
    :param headers: without those that concern the channel.
    :param read_at: steady time at which its first byte was read, in seconds.
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


RequestHandler = Callable[[CallerRequest, 'ResponseWriter'], Awaitable[None]]


class ResponseWriter:
    """
    The answer to one request.
    """

    def __init__(self, channel: 'CallerChannel', request: CallerRequest):
        self._channel = channel
        self._request = request
        self._has_begun = False
        self._has_ended = False

    @property
    def has_begun(self) -> bool:
        """
        Return whether the head was written.
        """
        return self._has_begun

    @property
    def has_ended(self) -> bool:
        """
        Return whether nothing can be written any more.
        """
        return self._has_ended or self._channel.is_lost

    def send(self, status: int, headers: Headers, body: bytes) -> None:
        """
        Write a whole answer.
        """
        if self._has_begun or self.has_ended:
            return
        length = (b'Content-Length', b'%d' % len(body))
        self._has_begun = True
        self._write(self._head(status, (*headers, length)) + body)
        self._end()

    def begin(self, status: int, headers: Headers) -> None:
        """
        Write the head of an answer that comes in pieces.
        """
        if self._has_begun or self.has_ended:
            return
        self._has_begun = True
        if self._request.accepts_chunked:
            headers = (*headers, (b'Transfer-Encoding', b'chunked'))
        self._write(self._head(status, headers))

    def write(self, piece: bytes) -> None:
        """
        Write a piece.
        """
        if self.has_ended or not piece:
            return
        if self._request.accepts_chunked:
            piece = b'%x\r\n%b\r\n' % (len(piece), piece)
        self._write(piece)

    def finish(self) -> None:
        """
        End a complete answer.
        """
        if self.has_ended:
            return
        if self._request.accepts_chunked:
            self._write(b'0\r\n\r\n')
        self._end()

    def abort(self) -> None:
        """
        End an answer so that it can't be taken for a complete one.
        """
        if self._has_ended:
            return
        self._has_ended = True
        if self._request.accepts_chunked:
            # Without the last chunk, the answer is seen to be cut.
            self._channel.close_after_answer()
        else:
            self._channel.abort()

    async def drain(self) -> None:
        """
        Wait until the caller takes what was written.
        """
        await self._channel.drain()

    def _head(self, status: int, headers: Headers) -> bytes:
        lines = [b'HTTP/1.1 %d %b' % (status, _phrase(status))]
        lines.extend(b'%b: %b' % pair for pair in headers)
        if not self._keeps():
            lines.append(b'Connection: close')
        lines.append(b'\r\n')
        return b'\r\n'.join(lines)

    def _keeps(self) -> bool:
        framed = self._request.accepts_chunked or not self._has_begun
        return (
            self._request.keep_alive
            and framed
            and not self._channel.is_draining
        )

    def _write(self, raw: bytes) -> None:
        self._channel.write(raw)

    def _end(self) -> None:
        self._has_ended = True
        if not self._keeps():
            self._channel.close_after_answer()


def _phrase(status: int) -> bytes:
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b'Status'


class CallerChannels:
    """
    All channels of one listener, and what they share.

    :param serve: serves one request.
    :param limits: returns the limits in force.
    """

    def __init__(
        self, serve: RequestHandler, limits: Callable[[], Limits]
    ) -> None:
        self.serve = serve
        self.limits = limits
        self.open: set[CallerChannel] = set()
        self.is_draining = False

    @property
    def busy_count(self) -> int:
        """
        Return how many channels serve or read a request.
        """
        return sum(1 for channel in self.open if not channel.is_idle)

    def new_channel(self) -> 'CallerChannel':
        """
        Return the protocol of a new channel.
        """
        return CallerChannel(self)

    def sweep(self) -> None:
        """
        Close channels that are idle or slow for longer than the limits say.
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

    def close_idle(self) -> None:
        """
        Close the channels that wait for a request.
        """
        for channel in list(self.open):
            channel.close_if_idle()


class CallerChannel(asyncio.Protocol):
    """
    One channel.
    """

    def __init__(self, shared: CallerChannels) -> None:
        self._shared = shared
        self._transport: asyncio.Transport | None = None
        self._reading = _Reading(self)
        self._waiting: deque[CallerRequest] = deque()
        self._serving: asyncio.Task[None] | None = None
        self._since = monotonic_s()
        self._can_write: asyncio.Future[None] | None = None
        self._closes = False
        self.is_lost = False

    @property
    def is_draining(self) -> bool:
        """
        Return whether answers ask the caller to close the channel.
        """
        return self._shared.is_draining

    @property
    def is_idle(self) -> bool:
        """
        Return whether no request is read or served.
        """
        return not (self._serving or self._waiting or self._reading.has_begun)

    @property
    def limits(self) -> Limits:
        """
        Return the limits in force.
        """
        return self._shared.limits()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """
        Take in a new channel.
        """
        self._transport = transport
        transport.set_write_buffer_limits(high=HIGH_WATER_BYTES)
        self._shared.open.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """
        Stop work for a caller that has gone.
        """
        self.is_lost = True
        self._shared.open.discard(self)
        self._waiting.clear()
        self.resume_writing()
        if self._serving:
            self._serving.cancel()

    def eof_received(self) -> bool:
        """
        Take a caller that sends no more for one that has left.
        """
        return False

    def pause_writing(self) -> None:
        """
        Let relays wait: the caller reads too slowly.
        """
        self._can_write = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """
        Let relays go on.
        """
        if self._can_write and not self._can_write.done():
            self._can_write.set_result(None)
        self._can_write = None

    async def drain(self) -> None:
        """
        Wait until the caller takes what was written.
        """
        if self._can_write:
            await self._can_write

    def data_received(self, raw: bytes) -> None:
        """
        Read requests.
        """
        if self._closes:
            return
        refused = self._reading.feed(raw)
        if refused:
            self._refuse(refused)

    def accept(self, request: CallerRequest) -> None:
        """
        Take in a request that was read whole.
        """
        self._waiting.append(request)
        if len(self._waiting) > MOST_PIPELINED:
            self.abort()
        elif not self._serving:
            self._serve_next()

    def write(self, raw: bytes) -> None:
        """
        Write bytes of an answer.
        """
        if self._transport and not self.is_lost:
            self._transport.write(raw)

    def close_after_answer(self) -> None:
        """
        Close once what was written is sent.
        """
        self._closes = True
        if self._transport:
            self._transport.close()

    def abort(self) -> None:
        """
        Close at once.
        """
        self._closes = True
        if self._transport:
            self._transport.abort()

    def close_if_idle(self) -> None:
        """
        Close a channel that waits for a request.
        """
        if self.is_idle:
            self.close_after_answer()

    def check_time(self, now: float, limits: Limits) -> None:
        """
        Close where the caller is idle or slow for too long.
        """
        if self._serving or self._waiting:
            return
        if not self._reading.has_begun:
            if now - self._since > limits.idle_s:
                self.close_after_answer()
            return
        allowed = BODY_S if self._reading.has_head else limits.header_s
        if now - self._reading.began_at > allowed:
            self._refuse(HTTPStatus.REQUEST_TIMEOUT)

    def _refuse(self, status: int) -> None:
        if self._serving:
            # The answer in progress goes first; then the channel ends.
            self._closes = True
            return
        self.write(REFUSAL % (status, _phrase(status)))
        self.close_after_answer()

    def _serve_next(self) -> None:
        request = self._waiting.popleft()
        answer = ResponseWriter(self, request)
        self._serving = asyncio.get_running_loop().create_task(
            self._shared.serve(request, answer)
        )
        self._serving.add_done_callback(self._served)

    def _served(self, task: asyncio.Task[None]) -> None:
        self._serving = None
        self._since = monotonic_s()
        failed = not task.cancelled() and task.exception() is not None
        if failed or self._closes:
            self.close_after_answer()
        elif self._waiting:
            self._serve_next()


class _Reading:
    """
    Reads requests from bytes by httptools.
    """

    def __init__(self, channel: CallerChannel) -> None:
        self._channel = channel
        self._parser = httptools.HttpRequestParser(self)
        self._limits = Limits()
        self.began_at = monotonic_s()
        self._clear()

    def feed(self, raw: bytes) -> int:
        """
        Read on.

        :returns: the status of a refusal, or 0.
        """
        if not self.has_begun:
            self.began_at = monotonic_s()
            self._limits = self._channel.limits
            self.has_begun = True
        try:
            self._parser.feed_data(raw)
        except httptools.HttpParserError:
            return self._status or HTTPStatus.BAD_REQUEST
        except httptools.HttpParserUpgrade:
            return HTTPStatus.BAD_REQUEST
        return self._status

    def on_message_begin(self) -> None:
        """
        Begin a request.
        """
        self.began_at = self.began_at if self.has_begun else monotonic_s()
        self.has_begun = True

    def on_url(self, raw: bytes) -> None:
        """
        Take in a part of the path.
        """
        self._target += raw
        self._count(len(raw))

    def on_header(self, name: bytes, given: bytes) -> None:
        """
        Take in a header.
        """
        self._headers.append((name, given))
        self._count(len(name) + len(given) + len(b': \r\n'))

    def on_headers_complete(self) -> None:
        """
        Take in the end of the head.
        """
        self.has_head = True
        names = [name.lower() for name, _ in self._headers]
        version = self._parser.get_http_version()
        if names.count(b'host') != 1 or version not in VERSIONS:
            self._status = HTTPStatus.BAD_REQUEST
        if b'expect' in names and not self._status:
            self._channel.write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def on_body(self, raw: bytes) -> None:
        """
        Take in a part of the body.
        """
        self._body_bytes += len(raw)
        if self._body_bytes > self._limits.body_bytes:
            self._status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
        else:
            self._body.append(raw)

    def on_message_complete(self) -> None:
        """
        Hand on a whole request.
        """
        if self._status:
            return
        request = self._request()
        self._clear()
        self._channel.accept(request)

    def _request(self) -> CallerRequest:
        headers = tuple(self._headers)
        host = dict((name.lower(), given) for name, given in headers)[b'host']
        return CallerRequest(
            method=self._parser.get_method().decode(),
            target=self._target,
            host=host.decode('latin-1').lower(),
            headers=end_to_end_headers(headers),
            body=b''.join(self._body),
            received_at=self.began_at,
            keep_alive=self._parser.should_keep_alive(),
            accepts_chunked=self._parser.get_http_version() == '1.1',
        )

    def _count(self, added: int) -> None:
        self._head_bytes += added
        if self._head_bytes > self._limits.header_bytes:
            self._status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE

    def _clear(self) -> None:
        self.has_begun = False
        self.has_head = False
        self._status = 0
        self._target = b''
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._head_bytes = 0
        self._body_bytes = 0
