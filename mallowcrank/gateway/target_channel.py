"""
HTTP/1.1 connections to targets and to the store, called channels.

A channel carries one request at a time; its response is read as events.
"""

import asyncio
from collections import deque
from collections.abc import Callable, Container, Sequence
from dataclasses import dataclass
from http import HTTPStatus
from math import inf
from types import MappingProxyType

import httptools

from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.gateway.dead_peers import (
    is_unacknowledged,
    watch_idle,
    watch_request,
)
from mallowcrank.gateway.ports import Headers, HttpCall
from mallowcrank.gateway.receiving import (
    HEADER_OVERHEAD_BYTES,
    Excess,
    Part,
    ReceiveBudget,
    SlicedProtocol,
)
from mallowcrank.gateway.settings import Address

# A round trip takes a few ms; retransmission of a lost SYN takes 1 s.
CONNECT_TIMEOUT_S = 0.25
IDLE_TIMEOUT_S = 3  # if the target's `Keep-Alive` names no timeout
IDLE_MARGIN_S = 1  # channels are closed so long before the target's timeout
# What is unread of a response when reading pauses, and goes on again.
HIGH_WATER_EVENTS = 64
LOW_WATER_EVENTS = 16
HIGH_WATER_BYTES = 65_536
LOW_WATER_BYTES = 16_384
MAX_STALL_S = 1  # within the transfer of a large response
MAX_IDLE = 32  # channels to one target
MAX_HEAD_BYTES = 65_536  # of a response, and of its trailers
MAX_BODY_BYTES = 16_777_216  # of a response that is read as a whole


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """
    Status and headers of a response.
    """

    status: int
    headers: Headers


@dataclass(frozen=True, slots=True)
class BodyChunk:
    """
    A part of a response's body.
    """

    data: bytes


@dataclass(frozen=True, slots=True)
class ResponseEnd:
    """
    The response is complete.
    """


@dataclass(frozen=True, slots=True)
class ChannelBroken:
    """
    The channel closed or failed before the response was complete.

    :param reason: why.
    :param excess: what the peer has sent, if it was too much.
    :param is_unacknowledged: whether the peer has acknowledged nothing in time;
        it may have ended, or the channel may have died while it was idle.
    """

    reason: str
    excess: Excess | None = None
    is_unacknowledged: bool = False


@dataclass(frozen=True, slots=True)
class ReadTimeout:
    """
    No event came before the timeout.
    """


@dataclass(frozen=True, slots=True)
class Response:
    """
    A complete response.
    """

    head: ResponseHead
    body: bytes

    @property
    def is_failure(self) -> bool:
        """
        Return whether the target reports a failure (5xx).
        """
        return self.head.status >= HTTPStatus.INTERNAL_SERVER_ERROR


ResponseEvent = (
    ResponseHead | BodyChunk | ResponseEnd | ChannelBroken | ReadTimeout
)


@dataclass(frozen=True, slots=True)
class ConnectFailure:
    """
    A channel could not be opened; nothing was sent.

    :param is_refused: whether the host refused the connection.
    """

    reason: str
    is_refused: bool = False


TOO_LONG = MappingProxyType(
    {
        Part.HEAD: 'the head of the answer is too long',
        Part.TRAILERS: 'the trailers of the answer are too long',
        Part.BODY: 'the answer is too long',
        Part.EVENT: 'an event or error is too long',
        Part.SHARE: 'its target holds the most of the memory for answers',
    }
)

ResponseMatcher = Callable[[Headers], bool]


def _match_any(headers: Headers) -> bool:
    return True


class TargetChannel(SlicedProtocol):
    """
    One connection to a target or to the store.

    :param budget: for what it may hold; one of its own by default.
    :ivar request_count: number of requests that it has carried.
    """

    def __init__(
        self, address: Address, budget: ReceiveBudget | None = None
    ) -> None:
        super().__init__(budget or ReceiveBudget())
        self.address = address
        self.last_used_at = monotonic_s()
        self.request_count = 0
        self._holding = self._budget.open(self.break_off)
        self._holding.peer = str(address)
        self._events: deque[ResponseEvent] = deque()
        self._body_parts: list[bytes] = []
        self._unread_bytes = 0
        self._kept_bytes = 0
        self._waiter: asyncio.Future[None] | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[tuple[bytes, bytes]] = []
        self._is_open = True
        self._is_pending = False
        self._head_only = False
        self._until_close = False
        self._matches: ResponseMatcher = _match_any
        self._is_skipped = False
        self._is_in_head = False
        self._unframed_bytes = 0
        self._keep_alive = False
        self._is_unanswered = False
        self._idle_timeout_s: float = IDLE_TIMEOUT_S

    @property
    def is_reusable(self) -> bool:
        """
        Return whether the channel can carry another request.

        A channel with unread events can't: if a caller disconnects, the
        response to its request must not go to the next request.
        """
        is_free = not self._is_pending and not self._events
        return self._is_open and is_free and self._keep_alive

    @property
    def unread(self) -> Sequence[ResponseEvent]:
        """
        Return the events of a response that wait to be read.
        """
        return self._events

    def is_usable(self, now: float) -> bool:
        """
        Return whether the channel is reusable and within its idle timeout.

        :param now: monotonic time in seconds.
        """
        return (
            self.is_reusable and now - self.last_used_at < self._idle_timeout_s
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """
        Store the transport of the new connection.
        """
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """
        Record that the connection is closed; fail a pending request.
        """
        if not self._is_open:
            return
        self._is_open = False
        if self._is_pending:
            reason = f'reset: {exc}' if exc else 'closed'
            is_unanswered = self._is_unanswered and is_unacknowledged(exc)
            self._emit(ChannelBroken(reason, is_unacknowledged=is_unanswered))

    def eof_received(self) -> bool:
        """
        Complete a response that is delimited by the end of the connection.
        """
        if self._is_pending and self._until_close:
            self._complete()
        self._keep_alive = False
        return False

    def send(
        self,
        data: bytes,
        matches: ResponseMatcher | None = None,
        head_only: bool = False,
    ) -> None:
        """
        Send a request.

        :param matches: whether a response with these headers answers this
            request; late responses to other requests are skipped.
        :param head_only: whether the response has no body (HEAD).
        """
        self.last_used_at = monotonic_s()
        self.request_count += 1
        self._is_pending = True
        self._matches = matches or _match_any
        self._head_only = head_only
        self._until_close = False
        self._unframed_bytes = 0
        self._is_unanswered = True
        self._begin_head()
        if self._transport and self._is_open:
            if self.request_count > 1:
                watch_request(self._transport, len(data))
            self._transport.write(data)
        else:
            self._emit(ChannelBroken('closed before the request'))

    def data_received(self, data: bytes | memoryview) -> None:
        """
        Parse received bytes.
        """
        if not self._is_open:
            return
        if not self._is_pending:
            # Unsolicited bytes belong to no request.
            self.close()
            return
        self._is_unanswered = False
        self._unframed_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            self._emit_body()
            self._fail(f'no HTTP answer: {error}')
            return
        self._emit_body()
        self._count_held()
        if self._unframed_bytes > MAX_HEAD_BYTES:
            self.break_off(Part.HEAD if self._is_in_head else Part.TRAILERS)

    def keep(self, taken_bytes: int) -> None:
        """
        Count bytes of the response that were taken as events, and are kept by
        their reader.
        """
        self._kept_bytes = taken_bytes
        self._count_held()

    def rest(self) -> None:
        """
        Keep the channel for another request; it closes if its peer is lost.
        """
        self.keep(0)
        if self._transport:
            watch_idle(self._transport)

    def break_off_event(self) -> None:
        """
        Close the channel, as an event or error is too long for its reader.
        """
        self.break_off(Part.EVENT)

    def break_off(self, part: Part) -> None:
        """
        Close the channel, as its peer has sent too much.

        :param part: of the response, of which it was.
        """
        if not self._is_open:
            return
        excess = self._holding.break_off(part)
        self._is_pending = self._is_pending or bool(self._events)
        self._events.clear()
        self._unread_bytes = 0
        self._fail(TOO_LONG[part], excess)

    async def next_event(self, timeout_s: float) -> ResponseEvent:
        """
        Return the next event, or `ReadTimeout` if none comes in time.

        :param timeout_s: 0 or less doesn't wait.
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
        if not self._events:
            return ReadTimeout()
        event = self._events.popleft()
        if isinstance(event, BodyChunk):
            self._unread_bytes -= len(event.data)
            self._count_held()
        if (
            len(self._events) <= LOW_WATER_EVENTS
            and self._unread_bytes <= LOW_WATER_BYTES
        ):
            self.hold_up(is_held_up=False)
        return event

    async def read_response(
        self,
        timeout_s: float,
        transfer_s: float = 0,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> Response | ChannelBroken | ReadTimeout:
        """
        Read a complete response; close the channel if that fails.

        :param timeout_s: for the complete response.
        :param transfer_s: further seconds once the head has come, as long as
            no pause takes more than `MAX_STALL_S`.
        :param max_body_bytes: at which the channel is broken off.
        """
        deadline_at = monotonic_s() + timeout_s
        max_pause_s = inf
        head = ResponseHead(0, ())
        body = bytearray()
        while True:
            remaining_s = deadline_at - monotonic_s()
            event = await self.next_event(min(max_pause_s, remaining_s))
            match event:
                case ResponseHead():
                    head = event
                    if transfer_s:
                        deadline_at += transfer_s
                        max_pause_s = MAX_STALL_S
                case BodyChunk():
                    body += event.data
                    self.keep(len(body))
                    if len(body) > max_body_bytes:
                        self.break_off(Part.BODY)
                case ResponseEnd():
                    self.keep(0)
                    return Response(head, bytes(body))
                case ChannelBroken() | ReadTimeout():
                    self.close()
                    return event

    def close(self) -> None:
        """
        Close at once, so that the target stops work on the request.
        """
        self._is_open = False
        self._keep_alive = False
        self._holding.resize(0)
        if self._transport:
            self._transport.abort()

    def on_message_begin(self) -> None:
        """
        Start a response.
        """
        self._begin_head()
        if not self._is_pending:
            self._keep_alive = False

    def on_header(self, name: bytes, field_value: bytes) -> None:
        """
        Add a header; trailers are left out.
        """
        if self._is_in_head:
            self._headers.append((name, field_value))

    def on_headers_complete(self) -> None:
        """
        Emit the head, unless the response is interim or to another request.
        """
        if not self._is_pending:
            return
        status = self._parser.get_status_code()
        if status < 200:
            return
        self._is_in_head = False
        self._is_skipped = not self._matches(tuple(self._headers))
        if self._is_skipped:
            return
        self._until_close = not _is_framed(self._headers, status)
        self._unframed_bytes = 0
        self._read_idle_timeout()
        self._emit(ResponseHead(status, tuple(self._headers)))
        if self._head_only:
            self._complete()
            self._keep_alive = False

    def on_body(self, data: bytes) -> None:
        """
        Add a part of the body to the next event.
        """
        self._unframed_bytes = 0
        if self._is_pending and not self._is_skipped:
            self._body_parts.append(data)

    def on_message_complete(self) -> None:
        """
        Emit the end of the response.
        """
        if self._is_skipped:
            self._is_skipped = False
        elif self._is_pending and self._parser.get_status_code() >= 200:
            # More than a slice may have come: bytes that answer no request.
            has_more = self._awaits_turn
            self._keep_alive = self._parser.should_keep_alive() and not has_more
            self._complete()

    def _begin_head(self) -> None:
        self._headers = []
        self._is_in_head = True

    def _fail(self, reason: str, excess: Excess | None = None) -> None:
        if self._is_pending:
            self._emit(ChannelBroken(reason, excess))
        self.close()

    def _complete(self) -> None:
        self._emit_body()
        self._headers = []
        self._unframed_bytes = 0
        self._is_pending = False
        self.last_used_at = monotonic_s()
        self._emit(ResponseEnd())

    def _read_idle_timeout(self) -> None:
        for name, field_value in self._headers:
            if name.lower() != b'keep-alive':
                continue
            _, _, seconds = field_value.partition(b'timeout=')
            digits = seconds.split(b',')[0].strip()
            if digits.isdigit():
                self._idle_timeout_s = max(0, int(digits) - IDLE_MARGIN_S)

    def _emit_body(self) -> None:
        """
        Emit the parts of the body that came together as one event.
        """
        if not self._body_parts:
            return
        body = b''.join(self._body_parts)
        self._body_parts.clear()
        self._unread_bytes += len(body)
        self._emit(BodyChunk(body))

    def _emit(self, event: ResponseEvent) -> None:
        self._events.append(event)
        if (
            len(self._events) >= HIGH_WATER_EVENTS
            or self._unread_bytes >= HIGH_WATER_BYTES
        ):
            self.hold_up(is_held_up=True)
        self._wake()

    def _count_held(self) -> None:
        """
        Count what was received and not passed on.
        """
        if not self._is_open:
            return
        body_bytes = self._unread_bytes + self._kept_bytes
        headers = len(self._headers) * HEADER_OVERHEAD_BYTES
        self._holding.resize(body_bytes + self._unframed_bytes + headers)

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
    Opens channels and keeps idle ones for later requests.

    :ivar budget: for what they may hold together; their own by default.
    """

    def __init__(self, budget: ReceiveBudget | None = None) -> None:
        self.budget = budget or ReceiveBudget()
        self._idle: dict[Address, list[TargetChannel]] = {}

    def take_idle(
        self, address: Address, excluded: Container[TargetChannel] = ()
    ) -> TargetChannel | None:
        """
        Remove and return an idle channel that is still usable, if any.

        :param excluded: channels that stay where they are.
        """
        now = monotonic_s()
        idle = self._idle.get(address, [])
        for channel in reversed(idle.copy()):
            if channel in excluded:
                continue
            idle.remove(channel)
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
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, channel = await loop.create_connection(
                    lambda: TargetChannel(address, self.budget),
                    address.ip,
                    address.port,
                )
        except TimeoutError:
            return ConnectFailure(f'no answer in {CONNECT_TIMEOUT_S} s')
        except (OSError, ValueError, OverflowError) as error:
            # The last two are of an address that no socket takes.
            refused = isinstance(error, ConnectionRefusedError)
            return ConnectFailure(str(error), refused)
        return channel

    async def fetch(
        self,
        address: Address,
        call: HttpCall,
        timeout_s: float,
        transfer_s: float = 0,
    ) -> Response | ChannelBroken | ReadTimeout | ConnectFailure:
        """
        Make one call over a new channel and close the channel.

        :param timeout_s: for the complete response, without connecting.
        :param transfer_s: further seconds once its head has come.
        """
        opened = await self.connect(address)
        if isinstance(opened, ConnectFailure):
            return opened
        try:
            return await fetch_over(opened, call, timeout_s, transfer_s)
        finally:
            opened.close()

    def release(self, channel: TargetChannel) -> None:
        """
        Keep a channel for later requests, or close it if it is not reusable.
        """
        idle = self._idle.setdefault(channel.address, [])
        if channel.is_reusable and len(idle) < MAX_IDLE:
            channel.rest()
            idle.append(channel)
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
        Close the idle channels whose idle timeout has passed.
        """
        now = monotonic_s()
        for address, idle in list(self._idle.items()):
            usable = [each for each in idle if each.is_usable(now)]
            for channel in idle:
                if channel not in usable:
                    channel.close()
            if usable:
                self._idle[address] = usable
            else:
                self._idle.pop(address)


async def fetch_over(
    channel: TargetChannel,
    call: HttpCall,
    timeout_s: float,
    transfer_s: float = 0,
    max_body_bytes: int = MAX_BODY_BYTES,
) -> Response | ChannelBroken | ReadTimeout:
    """
    Make one call over a channel.

    :param timeout_s: for the complete response.
    :param transfer_s: further seconds once its head has come.
    :param max_body_bytes: of the response; a longer one is broken off.
    """
    host = (b'Host', str(channel.address).encode())
    headers = (host, *call.headers)
    channel.send(
        encode_request(call.method, call.path.encode(), headers, call.body)
    )
    return await channel.read_response(timeout_s, transfer_s, max_body_bytes)


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
