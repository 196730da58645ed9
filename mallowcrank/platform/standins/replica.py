"""
Stand-ins of replicas: model engines with layers, and plain services.

An engine passes a request on along the path that it is sent with; here the
first one asks the others in memory whether they are there and hold their
part, and makes the events itself.
"""

import asyncio
from dataclasses import dataclass, field
from http import HTTPStatus

import orjson

from mallowcrank.gateway.caller_channel import Answer, CallerRequest
from mallowcrank.gateway.core import JSON
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
NOT_EXECUTED = ((b'Mallowcrank-Not-Executed', b'1'),)


@dataclass
class ReplicaFaults:
    """
    What goes wrong, in so many of the next requests.

    :param refusals: answered 503, not run.
    :param failures: answered 500, run.
    :param cuts: cut off in the middle of an event.
    :param stalls: silent after some events.
    :param losses: run, and the channel is reset without an answer.
    :param unsealed: answered without a seal.
    :param is_silent: whether it answers nothing at all.
    :param refusals_after: answered 503 after the first run.
    :param late_orders: orders that are carried out and get no answer.
    :param refuses_detours: whether streams can't be taken round others.
    """

    refusals: int = 0
    failures: int = 0
    cuts: int = 0
    stalls: int = 0
    losses: int = 0
    unsealed: int = 0
    is_silent: bool = False
    late_orders: int = 0
    refusals_after: int = 0
    refuses_detours: bool = False

    def consume(self, name: str) -> bool:
        """
        Return whether a fault is due, and count it.
        """
        left = getattr(self, name)
        setattr(self, name, max(0, left - 1))
        return left > 0


@dataclass(frozen=True)
class RequestRun:
    """
    One run of a request.

    :param layers: the layers of its path, in order.
    """

    request: str
    headers: Headers
    body: bytes
    layers: tuple[int, ...]
    last_event: int


@dataclass
class StandinReplica:
    """
    One replica.

    :param others: all replicas by address, for paths.
    :param misdirected: orders that were meant for another.
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
    misdirected: int = 0
    pace: float = 1
    faults: ReplicaFaults = field(default_factory=ReplicaFaults)
    runs: list[RequestRun] = field(default_factory=list)
    cancelled_requests: list[str] = field(default_factory=list)
    stalled_streams: StalledStreams = field(default_factory=StalledStreams)

    def __post_init__(self) -> None:
        """
        Make the server.
        """
        self.server = StandinServer(self._serve)

    @property
    def address(self) -> Address:
        """
        Return where it listens.
        """
        return self.server.address

    async def start(self, address: Address) -> None:
        """
        Listen.
        """
        await self.server.start(address)
        self.all_replicas[str(self.address)] = self

    def entry(self) -> bytes:
        """
        Return its entry in the store.
        """
        return orjson.dumps(
            {
                'service': self.service,
                'address': str(self.address),
                'zone': self.zone,
                'version': 'v1',
                'slots': 96,
                'state': self.state,
                'cold_remaining_ms': 0,
                'sequence': len(self.runs),
                'born': self.born,
                'kind': self.kind,
                'layers': self._layers(),
            }
        )

    def _layers(self) -> dict[str, int] | None:
        if not self.held:
            return None
        return {'source': self.held[0], 'to': self.held[1], 'version': 1}

    async def _serve(self, request: CallerRequest, answer: Answer) -> None:
        if self.faults.is_silent:
            await asyncio.sleep(FOREVER_S)
        elif request.path == '/report':
            self._report(answer)
        elif request.path == '/order':
            await self._order(request, answer)
        else:
            await self._serve_request(request, answer)

    def _report(self, answer: Answer) -> None:
        report = {
            'sequence': self.orders,
            'born': self.born,
            'pace': self.pace,
            'layers': self._layers(),
            'busy': False,
        }
        answer.send(HTTPStatus.OK, (JSON,), orjson.dumps(report))

    async def _order(self, request: CallerRequest, answer: Answer) -> None:
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
        self, request: CallerRequest, answer: Answer
    ) -> None:
        given = {name.lower(): raw for name, raw in request.headers}
        status, culprit = self._find_refusal(given)
        if status:
            at = ((b'At-Server', culprit.encode()),)
            echo = _request_id_headers(
                given.get(b'mallowcrank-request-id', b'')
            )
            answer.send(status, NOT_EXECUTED + at + echo, b'')
            return
        ran = self._record_run(given, request.body)
        if self.faults.consume('losses'):
            answer.cut()
        elif self.faults.consume('failures'):
            answer.send(
                HTTPStatus.INTERNAL_SERVER_ERROR,
                _sealed_headers(ran),
                b'failed',
            )
        elif self.held is None:
            body = b'%b answers %b' % (
                self.identity.encode(),
                request.target,
            )
            answer.send(HTTPStatus.OK, self._response_headers(ran), body)
        else:
            await self._stream(ran, answer)

    def _find_refusal(self, given: dict[bytes, bytes]) -> tuple[int, str]:
        """
        Return the status of a refusal and who is at fault, or 0.
        """
        mine = str(self.address)
        if names_other_replica(self.identity, tuple(given.items())):
            return HTTPStatus.MISDIRECTED_REQUEST, mine
        if self.runs and self.faults.consume('refusals_after'):
            return HTTPStatus.SERVICE_UNAVAILABLE, mine
        if self.faults.consume('refusals') or self.state != 'ready':
            return HTTPStatus.SERVICE_UNAVAILABLE, mine
        for address, first, end in _parse_path(_path_header(given)):
            other = self.all_replicas.get(address)
            if other is None or other.state != 'ready':
                return HTTPStatus.SERVICE_UNAVAILABLE, address
            held = other.held or (0, 0)
            if first < held[0] or held[1] < end:
                return HTTPStatus.MISDIRECTED_REQUEST, address
        return 0, ''

    def _record_run(self, given: dict[bytes, bytes], body: bytes) -> RequestRun:
        layers = [
            layer
            for _, first, end in _parse_path(_path_header(given))
            for layer in range(first, end)
        ]
        ran = RequestRun(
            request=given.get(b'mallowcrank-request-id', b'').decode(),
            headers=tuple(given.items()),
            body=body,
            layers=tuple(layers),
            last_event=int(given.get(b'last-event-id', b'0')),
        )
        self.runs.append(ran)
        return ran

    def _response_headers(self, ran: RequestRun) -> Headers:
        if self.faults.consume('unsealed'):
            return _request_id_headers(ran.request.encode())
        return _sealed_headers(ran)

    async def _stream(self, ran: RequestRun, answer: Answer) -> None:
        cuts = self.faults.consume('cuts')
        stalls = self.faults.consume('stalls')
        half = (ran.last_event + EVENT_COUNT) // 2
        try:
            answer.begin(HTTPStatus.OK, self._response_headers(ran))
            for number in range(ran.last_event + 1, EVENT_COUNT + 1):
                await asyncio.sleep(EVENT_INTERVAL_S)
                if cuts and number > half:
                    answer.write(b'id: %d\nda' % number)
                    answer.cut()
                    return
                if stalls and number > half:
                    stalls = False
                    await self.stalled_streams.wait(ran.request)
                answer.write(b'id: %d\ndata: event %d\n\n' % (number, number))
            answer.finish()
        except asyncio.CancelledError:
            self.cancelled_requests.append(ran.request)
            raise


def _sealed_headers(ran: RequestRun) -> Headers:
    seal = f'seal.{ran.request}'.encode()
    echo = _request_id_headers(ran.request.encode())
    return ((b'Mallowcrank-Response-Seal', seal), *echo)


def _request_id_headers(request: bytes) -> Headers:
    return ((b'Mallowcrank-Request-Id', request),)


def _path_header(given: dict[bytes, bytes]) -> str:
    return given.get(PATH_HEADER, b'').decode()


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
    found = [others.get(address) for address, _, _ in hops]
    return all(other and not other.faults.is_silent for other in found)
