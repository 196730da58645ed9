"""
Channels to targets and to the store: one request at a time, events back.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus

import httptools

from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.gateway.ports import Headers, HttpCall
from mallowcrank.gateway.settings import Address

CONNECT_S = 0.25  # a link's round trip is a few ms; a lost packet costs 1 s
IDLE_S = 3  # that a channel is kept where the target names no time
IDLE_MARGIN_S = 1  # before the time that the target names
MOST_KEPT = 32  # idle channels to one target


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """
    Status and headers of an answer.
    """

    status: int
    headers: Headers


@dataclass(frozen=True, slots=True)
class BodyChunk:
    """
    A piece of an answer's body.
    """

    data: bytes


@dataclass(frozen=True, slots=True)
class ResponseEnd:
    """
    The answer's body is complete.
    """


@dataclass(frozen=True, slots=True)
class ChannelBroken:
    """
    The channel can give nothing more.

    :param reason: why.
    """

    reason: str


@dataclass(frozen=True, slots=True)
class ReadTimeout:
    """
    Nothing came in time.
    """


@dataclass(frozen=True, slots=True)
class Response:
    """
    A whole answer.
    """

    head: ResponseHead
    body: bytes

    @property
    def is_failure(self) -> bool:
        """
        Return whether the target failed.
        """
        return self.head.status >= HTTPStatus.INTERNAL_SERVER_ERROR


ResponseEvent = (
    ResponseHead | BodyChunk | ResponseEnd | ChannelBroken | ReadTimeout
)


@dataclass(frozen=True, slots=True)
class ConnectFailure:
    """
    A channel that could not be opened: nothing was sent.

    :param is_refused: whether the host answered that nobody listens.
    """

    reason: str
    is_refused: bool = False


ResponseMatcher = Callable[[Headers], bool]


def _any(headers: Headers) -> bool:
    return True


class TargetChannel(asyncio.Protocol):
    """
    One channel.
    """

    def __init__(self, address: Address) -> None:
        self.address = address
        self.last_used_at = monotonic_s()
        self._transport: asyncio.Transport | None = None
        self._events: deque[ResponseEvent] = deque()
        self._waiter: asyncio.Future[None] | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[tuple[bytes, bytes]] = []
        self._is_open = True
        self._is_asked = False
        self._head_only = False
        self._until_close = False
        self._is_mine: ResponseMatcher = _any
        self._skips = False
        self._keeps = False
        self._idle_s: float = IDLE_S

    @property
    def is_reusable(self) -> bool:
        """
        Return whether the channel can carry another request.

        An answer that was not taken, as its caller left just then, is not
        left for the next request.
        """
        is_free = not self._is_asked and not self._events
        return self._is_open and is_free and self._keeps

    def is_usable(self, now: float) -> bool:
        """
        Return whether the target still keeps the idle channel.
        """
        return self.is_reusable and now - self.last_used_at < self._idle_s

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """
        Take in the open channel.
        """
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """
        Take in the end of the channel.
        """
        if not self._is_open:
            return
        self._is_open = False
        if self._is_asked:
            reason = f'reset: {exc}' if exc else 'closed'
            self._put(ChannelBroken(reason))

    def eof_received(self) -> bool:
        """
        Take in the end of what the target sends.
        """
        if self._is_asked and self._until_close:
            self._complete()
        self._keeps = False
        return False

    def send(
        self,
        raw: bytes,
        matches: ResponseMatcher | None = None,
        head_only: bool = False,
    ) -> None:
        """
        Send a request.

        :param is_mine: tells from an answer's headers whether it is to this
            request; others may come late, and are passed over.
        """
        self.last_used_at = monotonic_s()
        self._is_asked = True
        self._is_mine = matches or _any
        self._head_only = head_only
        self._until_close = False
        if self._transport and self._is_open:
            self._transport.write(raw)
        else:
            self._put(ChannelBroken('closed before the request'))

    def data_received(self, raw: bytes) -> None:
        """
        Read the answer.
        """
        if not self._is_open:
            return
        if not self._is_asked:
            # Bytes that nobody asked for belong to no request.
            self.close()
            return
        try:
            self._parser.feed_data(raw)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as no:
            if self._is_asked:
                self._put(ChannelBroken(f'no HTTP answer: {no}'))
            self.close()

    async def next_event(self, timeout_s: float) -> ResponseEvent:
        """
        Return the next event, or `Silent` after some seconds.
        """
        if not self._events and timeout_s > 0:
            loop = asyncio.get_running_loop()
            self._waiter = loop.create_future()
            timer = loop.call_later(timeout_s, self._wake)
            try:
                await self._waiter
            finally:
                timer.cancel()
                self._waiter = None
        return self._events.popleft() if self._events else ReadTimeout()

    async def read_response(
        self, timeout_s: float
    ) -> Response | ChannelBroken | ReadTimeout:
        """
        Read an answer to its end, or close the channel.

        :param within_s: for the whole of it.
        """
        until = monotonic_s() + timeout_s
        head = ResponseHead(0, ())
        pieces = []
        while True:
            event = await self.next_event(until - monotonic_s())
            match event:
                case ResponseHead():
                    head = event
                case BodyChunk():
                    pieces.append(event.data)
                case ResponseEnd():
                    return Response(head, b''.join(pieces))
                case ChannelBroken() | ReadTimeout():
                    self.close()
                    return event

    def close(self) -> None:
        """
        Close at once; a target then stops work on the request.
        """
        self._is_open = False
        self._keeps = False
        if self._transport:
            self._transport.abort()

    def on_message_begin(self) -> None:
        """
        Begin an answer.
        """
        self._headers = []
        if not self._is_asked:
            self._keeps = False

    def on_header(self, name: bytes, given: bytes) -> None:
        """
        Take in a header.
        """
        self._headers.append((name, given))

    def on_headers_complete(self) -> None:
        """
        Take in the end of the head.
        """
        if not self._is_asked:
            return
        status = self._parser.get_status_code()
        if status < 200:
            return
        self._skips = not self._is_mine(tuple(self._headers))
        if self._skips:
            return
        self._until_close = not _is_framed(self._headers, status)
        self._take_idle_time()
        self._put(ResponseHead(status, tuple(self._headers)))
        if self._head_only:
            self._complete()
            self._keeps = False

    def on_body(self, raw: bytes) -> None:
        """
        Take in a piece of the body.
        """
        if self._is_asked and not self._skips:
            self._put(BodyChunk(raw))

    def on_message_complete(self) -> None:
        """
        Take in the end of the body.
        """
        if self._skips:
            self._skips = False
        elif self._is_asked and self._parser.get_status_code() >= 200:
            self._keeps = self._parser.should_keep_alive()
            self._complete()

    def _complete(self) -> None:
        self._is_asked = False
        self.last_used_at = monotonic_s()
        self._put(ResponseEnd())

    def _take_idle_time(self) -> None:
        for name, given in self._headers:
            if name.lower() != b'keep-alive':
                continue
            _, _, seconds = given.partition(b'timeout=')
            digits = seconds.split(b',')[0].strip()
            if digits.isdigit():
                self._idle_s = max(0, int(digits) - IDLE_MARGIN_S)

    def _put(self, event: ResponseEvent) -> None:
        self._events.append(event)
        self._wake()

    def _wake(self) -> None:
        if self._waiter and not self._waiter.done():
            self._waiter.set_result(None)


def _is_framed(headers: list[tuple[bytes, bytes]], status: int) -> bool:
    if status in {204, 304}:
        return True
    names = {name.lower() for name, _ in headers}
    return not names.isdisjoint((b'content-length', b'transfer-encoding'))


class ChannelPool:
    """
    Channels to all targets; idle ones are kept for the next request.
    """

    def __init__(self) -> None:
        self._idle: dict[Address, list[TargetChannel]] = {}

    def take_idle(self, address: Address) -> TargetChannel | None:
        """
        Take an idle channel, if there is one.
        """
        now = monotonic_s()
        kept = self._idle.get(address, [])
        while kept:
            channel = kept.pop()
            if channel.is_usable(now):
                return channel
            channel.close()
        return None

    async def connect(self, address: Address) -> TargetChannel | ConnectFailure:
        """
        Open a new channel.
        """
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_S):
                _, channel = await loop.create_connection(
                    lambda: TargetChannel(address), address.ip, address.port
                )
        except TimeoutError:
            return ConnectFailure(f'no answer in {CONNECT_S} s')
        except OSError as error:
            refused = isinstance(error, ConnectionRefusedError)
            return ConnectFailure(str(error), refused)
        return channel

    async def fetch(
        self, address: Address, call: HttpCall, timeout_s: float
    ) -> Response | ChannelBroken | ReadTimeout | ConnectFailure:
        """
        Make one call over a new channel, and close it.

        :param within_s: for the whole answer.
        """
        opened = await self.connect(address)
        if isinstance(opened, ConnectFailure):
            return opened
        try:
            return await fetch_over(opened, call, timeout_s)
        finally:
            opened.close()

    def release(self, channel: TargetChannel) -> None:
        """
        Keep a channel for the next request, or close it.
        """
        kept = self._idle.setdefault(channel.address, [])
        if channel.is_reusable and len(kept) < MOST_KEPT:
            kept.append(channel)
        else:
            channel.close()

    def close_idle(self, address: Address) -> None:
        """
        Close the idle channels to a target.
        """
        for channel in self._idle.pop(address, []):
            channel.close()

    def sweep(self) -> None:
        """
        Close channels that were idle for too long.
        """
        now = monotonic_s()
        for address, kept in list(self._idle.items()):
            staying = [each for each in kept if each.is_usable(now)]
            for channel in kept:
                if channel not in staying:
                    channel.close()
            if staying:
                self._idle[address] = staying
            else:
                self._idle.pop(address)


async def fetch_over(
    channel: TargetChannel, call: HttpCall, timeout_s: float
) -> Response | ChannelBroken | ReadTimeout:
    """
    Make one call over a channel.

    :param within_s: for the whole answer.
    """
    host = (b'Host', str(channel.address).encode())
    headers = (host, *call.headers)
    channel.send(
        encode_request(call.method, call.path.encode(), headers, call.body)
    )
    return await channel.read_response(timeout_s)


def encode_request(
    method: str, path: bytes, headers: Headers, body: bytes
) -> bytes:
    """
    Encode a request.
    """
    lines = [b'%b %b HTTP/1.1' % (method.encode(), path)]
    lines.extend(b'%b: %b' % pair for pair in headers)
    if body or method not in {'GET', 'HEAD', 'DELETE'}:
        lines.append(b'Content-Length: %d' % len(body))
    lines.append(b'\r\n')
    return b'\r\n'.join(lines) + body
