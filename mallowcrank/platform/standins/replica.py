"""
Stand-ins of replicas: model engines with layers, and plain services.

A real engine forwards a request along the path in its headers. Here the first
engine of the path looks up in memory whether the others are available and hold
their layers, and generates the events itself.
"""

import asyncio
from dataclasses import dataclass, field
from http import HTTPStatus

import orjson

from mallowcrank.gateway.caller_channel import CallerRequest, ResponseWriter
from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.gateway.error_responses import JSON_HEADER
from mallowcrank.gateway.ports import Headers
from mallowcrank.gateway.settings import Address
from mallowcrank.platform.standins.placing import (
    PlacementState,
    apply_place_order,
    names_other_replica,
)
from mallowcrank.platform.standins.server import StandinServer
from mallowcrank.platform.standins.stalls import StalledStreams

FOREVER_S = 3600
EVENT_INTERVAL_S = 0.001
LAYERS = 80
EVENT_COUNT = 12
PATH_HEADER = b'mallowcrank-hop-count'
ENDLESS_PIECE = b'x' * 65_536
NOT_EXECUTED = ((b'Mallowcrank-Not-Executed', b'1'),)


@dataclass
class ReplicaFaults:
    """
    Injected faults. Each number counts the next requests that are affected.

    :param refusals: answered 503 without being run.
    :param failures: run and answered 500.
    :param cuts: cut off in the middle of an event.
    :param stalls: stalled after some events.
    :param losses: run, then the channel is reset without an answer.
    :param unsealed: answered without a seal.
    :param is_silent: whether nothing is answered at all.
    :param refusals_after: answered 503, once a request has been run.
    :param late_orders: orders that are carried out and not answered.
    :param endless: answered with an event without end.
    :param refuses_detours: whether orders for another path are refused.
    """

    refusals: int = 0
    failures: int = 0
    cuts: int = 0
    stalls: int = 0
    losses: int = 0
    unsealed: int = 0
    is_silent: bool = False
    late_orders: int = 0
    endless: int = 0
    refusals_after: int = 0
    refuses_detours: bool = False

    def consume(self, name: str) -> bool:
        """
        Return whether a fault is due, and count it down.
        """
        left = getattr(self, name)
        setattr(self, name, max(0, left - 1))
        return left > 0


@dataclass(frozen=True)
class RequestRun:
    """
    A run of a request.

    :param layers: the layers of its path, in order.
    :param last_event: the event after which a stream resumes, 0 for none.
    :param at: steady time at which it began, in seconds.
    """

    request: str
    headers: Headers
    body: bytes
    layers: tuple[int, ...]
    last_event: int
    at: float


@dataclass
class StandinReplica:
    """
    A replica.

    :param all_replicas: all replicas by address, to look up paths.
    :param held: first and end of the held layers.
    :param orders: number of accepted placement orders.
    :param writes: number of times that it has written its entry.
    :param misdirected: number of orders meant for another replica.
    :param cancelled_requests: ids of streams whose caller has left.
    :param named_limits: the values of `Server-Limit` in its answers.
    :param names_limit_in_reports: whether its reports have them, too.
    :param said_leaving: the value of `Server-Leaving` in its answers, if any.
    :param wanted_rest: the value of `Retry-After` in its refusals, if any.
    :param arrivals: steady times at which requests arrived from gateways, in
        seconds.
    :param deadly_parts: of prompts, under which it crashes when it begins to
        answer.
    :param deadly_bodies: of requests under which it crashes.
    :param events_before_crash: that it sends of a stream with such a body.
    :param crashed_at: steady time of its last crash, in seconds; none while
        it runs.
    :param crashes: number of its crashes.
    :param relayed_arrivals: those at which requests arrived from other
        engines.
    :param event_count: of each stream.
    :param event_interval_s: seconds between the events of a stream.
    :param work_s: seconds that a plain service works on a request.
    :param running: while it isn't set, nothing is answered, and channels stay
        open.
    """

    identity: str
    service: str
    zone: str = 'a'
    kind: str = ''
    born: int = 1
    all_replicas: dict[str, 'StandinReplica'] = field(default_factory=dict)
    state: str = 'ready'
    held: tuple[int, int] | None = None
    orders: int = 0
    writes: int = 0
    misdirected: int = 0
    pace: float = 1
    faults: ReplicaFaults = field(default_factory=ReplicaFaults)
    runs: list[RequestRun] = field(default_factory=list)
    cancelled_requests: list[str] = field(default_factory=list)
    stalled_streams: StalledStreams = field(default_factory=StalledStreams)
    named_limits: tuple[str, ...] = ()
    names_limit_in_reports: bool = False
    said_leaving: str = ''
    wanted_rest: str = ''
    arrivals: list[float] = field(default_factory=list)
    relayed_arrivals: list[float] = field(default_factory=list)
    deadly_parts: set[str] = field(default_factory=set)
    deadly_bodies: set[bytes] = field(default_factory=set)
    events_before_crash: int = 0
    crashed_at: float | None = None
    crashes: int = 0
    event_count: int = EVENT_COUNT
    event_interval_s: float = EVENT_INTERVAL_S
    work_s: float = 0
    running: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        """
        Create the server.
        """
        self.server = StandinServer(self._serve)
        self.running.set()

    @property
    def address(self) -> Address:
        """
        Return the address that it listens on.
        """
        return self.server.address

    async def start(self, address: Address) -> None:
        """
        Start to listen and become available to paths.
        """
        await self.server.start(address)
        self.all_replicas[str(self.address)] = self

    def crash(self) -> None:
        """
        End at once, with all requests.
        """
        self.crashes += 1
        self.crashed_at = monotonic_s()
        self.server.stop()

    def entry(self) -> bytes:
        """
        Return the body of its entry in the store, for another write.
        """
        self.writes += 1
        return orjson.dumps(
            {
                'service': self.service,
                'address': str(self.address),
                'zone': self.zone,
                'version': 'v1',
                'slots': 96,
                'state': self.state,
                'cold_remaining_ms': 0,
                'sequence': self.writes,
                'born': self.born,
                'kind': self.kind,
                'layers': _layers_row(self.held),
            }
        )

    async def _serve(
        self, request: CallerRequest, answer: ResponseWriter
    ) -> None:
        await self.running.wait()
        if self.faults.is_silent:
            await asyncio.sleep(FOREVER_S)
        elif request.path == '/report':
            self._report(answer)
        elif request.path == '/order':
            await self._order(request, answer)
        else:
            await self._serve_request(request, answer)

    def _report(self, answer: ResponseWriter) -> None:
        report = {
            'sequence': self.orders,
            'born': self.born,
            'pace': self.pace,
            'layers': _layers_row(self.held),
            'busy': False,
        }
        headers: Headers = (JSON_HEADER,)
        if self.names_limit_in_reports:
            headers += self._said_headers()
        answer.send(HTTPStatus.OK, headers, orjson.dumps(report))

    async def _order(
        self, request: CallerRequest, answer: ResponseWriter
    ) -> None:
        order = orjson.loads(request.body)
        if order['operation'] == 'repath':
            hops = _parse_path(order['path'])
            status = HTTPStatus.CONFLICT
            if not self.faults.refuses_detours and _are_reachable(
                hops, self.all_replicas
            ):
                status = self.stalled_streams.resume(order['id'], hops)
            answer.send(status, (), b'')
            return
        status, placed = apply_place_order(
            PlacementState(self.identity, self.orders, self.held),
            request.headers,
            request.body,
        )
        self.held = placed.held
        self.orders = placed.orders
        self.misdirected += status == HTTPStatus.MISDIRECTED_REQUEST
        if status == HTTPStatus.ACCEPTED and self.faults.consume('late_orders'):
            await asyncio.sleep(FOREVER_S)
        answer.send(status, (), b'')

    async def _serve_request(
        self, request: CallerRequest, answer: ResponseWriter
    ) -> None:
        self.arrivals.append(monotonic_s())
        by_name = {name.lower(): raw for name, raw in request.headers}
        status, faulty_address = self._find_refusal(by_name)
        if status:
            headers = (
                *NOT_EXECUTED,
                (b'At-Server', faulty_address.encode()),
                *_request_id_headers(
                    by_name.get(b'mallowcrank-request-id', b'')
                ),
                *self._said_headers(),
            )
            if self.wanted_rest and status == HTTPStatus.SERVICE_UNAVAILABLE:
                headers += ((b'Retry-After', self.wanted_rest.encode()),)
            answer.send(status, headers, b'')
            return
        run = self._record_run(by_name, request.body)
        if self.held is None and run.body in self.deadly_bodies:
            await asyncio.sleep(EVENT_INTERVAL_S)
            self.crash()
            return
        if self.faults.consume('losses'):
            answer.abort()
        elif self.faults.consume('failures'):
            answer.send(
                HTTPStatus.INTERNAL_SERVER_ERROR,
                _sealed_headers(run) + self._said_headers(),
                b'failed',
            )
        elif self.held is None:
            await asyncio.sleep(self.work_s)
            body = b'%b answers %b' % (self.identity.encode(), request.target)
            answer.send(HTTPStatus.OK, self._response_headers(run), body)
        else:
            await self._stream(run, answer)

    def _find_refusal(self, by_name: dict[bytes, bytes]) -> tuple[int, str]:
        """
        Return the status of a refusal and the address at fault, or 0.
        """
        own_address = str(self.address)
        if names_other_replica(self.identity, tuple(by_name.items())):
            return HTTPStatus.MISDIRECTED_REQUEST, own_address
        if self.runs and self.faults.consume('refusals_after'):
            return HTTPStatus.SERVICE_UNAVAILABLE, own_address
        if self.faults.consume('refusals') or self.state != 'ready':
            return HTTPStatus.SERVICE_UNAVAILABLE, own_address
        for address, first, end in _parse_path(_path_header(by_name)):
            other = self.all_replicas.get(address)
            if other is None or other.state != 'ready':
                return HTTPStatus.SERVICE_UNAVAILABLE, address
            held = other.held or (0, 0)
            if first < held[0] or held[1] < end:
                return HTTPStatus.MISDIRECTED_REQUEST, address
        return 0, ''

    def _record_run(
        self, by_name: dict[bytes, bytes], body: bytes
    ) -> RequestRun:
        for address, _, _ in _parse_path(_path_header(by_name))[1:]:
            other = self.all_replicas[address]
            other.relayed_arrivals.append(monotonic_s())
        layers = [
            layer
            for _, first, end in _parse_path(_path_header(by_name))
            for layer in range(first, end)
        ]
        run = RequestRun(
            request=by_name.get(b'mallowcrank-request-id', b'').decode(),
            headers=tuple(by_name.items()),
            body=body,
            layers=tuple(layers),
            last_event=int(by_name.get(b'last-event-id', b'0')),
            at=monotonic_s(),
        )
        self.runs.append(run)
        return run

    def _response_headers(self, run: RequestRun) -> Headers:
        if self.faults.consume('unsealed'):
            return _request_id_headers(run.request.encode())
        return _sealed_headers(run) + self._said_headers()

    def _said_headers(self) -> Headers:
        """
        Return what it says of itself in all answers.
        """
        said = [(b'Server-Limit', each.encode()) for each in self.named_limits]
        if self.said_leaving:
            said.append((b'Server-Leaving', self.said_leaving.encode()))
        return tuple(said)

    async def _stream(self, run: RequestRun, answer: ResponseWriter) -> None:
        await asyncio.sleep(self.event_interval_s)
        await self.running.wait()
        before_crash = _events_before_crash(self, run)
        if before_crash == 0:
            self.crash()
            return
        last = (
            run.last_event + before_crash if before_crash else self.event_count
        )
        try:
            answer.begin(HTTPStatus.OK, self._response_headers(run))
            is_complete = await _write_events(self, run, answer, last)
        except asyncio.CancelledError:
            self.cancelled_requests.append(run.request)
            raise
        if before_crash:
            self.crash()
        elif is_complete:
            answer.finish()


async def _write_events(
    replica: StandinReplica, run: RequestRun, answer: ResponseWriter, last: int
) -> bool:
    """
    Write the events of a stream.

    :param last: number of the last one.
    :returns: false if the answer was broken off.
    """
    is_cut = replica.faults.consume('cuts')
    is_stalled = replica.faults.consume('stalls')
    half = (run.last_event + replica.event_count) // 2
    for number in range(run.last_event + 1, last + 1):
        await asyncio.sleep(replica.event_interval_s)
        await replica.running.wait()
        if is_cut and number > half:
            answer.write(b'id: %d\nda' % number)
            answer.abort()
            return False
        if is_stalled and number > half:
            is_stalled = False
            await replica.stalled_streams.wait(run.request)
        if replica.faults.endless:
            await _write_endlessly(answer)
        answer.write(b'id: %d\ndata: event %d\n\n' % (number, number))
    return True


async def _write_endlessly(answer: ResponseWriter) -> None:
    while True:
        answer.write(ENDLESS_PIECE)
        await answer.drain()


def _layers_row(held: tuple[int, int] | None) -> dict[str, int] | None:
    if not held:
        return None
    return {'source': held[0], 'to': held[1], 'version': 1}


def _shared_parts(run: RequestRun) -> list[str]:
    prompt = dict(run.headers).get(b'mallowcrank-prompt-prefix', b'')
    parts = [part.partition(':')[0] for part in prompt.decode().split(',')]
    return parts[:-1]


def _events_before_crash(
    replica: StandinReplica, run: RequestRun
) -> int | None:
    """
    Return how many events of a stream a replica sends before it crashes; none
    if it doesn't crash.
    """
    if replica.deadly_parts.intersection(_shared_parts(run)):
        return 0
    if run.body in replica.deadly_bodies:
        return replica.events_before_crash
    return None


def _sealed_headers(run: RequestRun) -> Headers:
    seal = f'seal.{run.request}'.encode()
    id_headers = _request_id_headers(run.request.encode())
    return ((b'Mallowcrank-Response-Seal', seal), *id_headers)


def _request_id_headers(request: bytes) -> Headers:
    return ((b'Mallowcrank-Request-Id', request),)


def _path_header(by_name: dict[bytes, bytes]) -> str:
    return by_name.get(PATH_HEADER, b'').decode()


def _parse_path(path: str) -> list[tuple[str, int, int]]:
    hops = []
    for part in path.split(','):
        address, _, layers = part.partition('=')
        first, _, end = layers.partition('-')
        if end:
            hops.append((address, int(first), int(end)))
    return hops


def _are_reachable(
    hops: list[tuple[str, int, int]], others: dict[str, StandinReplica]
) -> bool:
    replicas = [others.get(address) for address, _, _ in hops]
    return all(other and not other.faults.is_silent for other in replicas)
