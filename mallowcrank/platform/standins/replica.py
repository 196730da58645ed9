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

from mallowcrank.gateway.caller_channel import CallerRequest, ResponseWriter
from mallowcrank.gateway.core import JSON_HEADER
from mallowcrank.gateway.ports import Headers
from mallowcrank.gateway.settings import Address
from mallowcrank.platform.standins.placing import (
    Placed,
    is_for_another,
    judge_place,
)
from mallowcrank.platform.standins.server import StandinServer
from mallowcrank.platform.standins.stalls import Stalls

FOREVER_S = 3600
EVENT_S = 0.001
LAYERS = 80
EVENTS = 12
HOPS = b'mallowcrank-hop-count'
NOT_RUN = ((b'Mallowcrank-Not-Executed', b'1'),)


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

    def take(self, name: str) -> bool:
        """
        Return whether a fault is due, and count it.
        """
        left = getattr(self, name)
        setattr(self, name, max(0, left - 1))
        return left > 0


@dataclass(frozen=True)
class Ran:
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
    others: dict[str, 'StandinReplica'] = field(default_factory=dict)
    state: str = 'ready'
    held: tuple[int, int] | None = None
    orders: int = 0
    misdirected: int = 0
    pace: float = 1
    faults: ReplicaFaults = field(default_factory=ReplicaFaults)
    ran: list[Ran] = field(default_factory=list)
    left: list[str] = field(default_factory=list)
    stalls: Stalls = field(default_factory=Stalls)

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
        self.others[str(self.address)] = self

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
                'sequence': len(self.ran),
                'born': self.born,
                'kind': self.kind,
                'layers': self._layers(),
            }
        )

    def _layers(self) -> dict[str, int] | None:
        if not self.held:
            return None
        return {'source': self.held[0], 'to': self.held[1], 'version': 1}

    async def _serve(
        self, request: CallerRequest, answer: ResponseWriter
    ) -> None:
        if self.faults.is_silent:
            await asyncio.sleep(FOREVER_S)
        elif request.path == '/report':
            self._report(answer)
        elif request.path == '/order':
            await self._order(request, answer)
        else:
            await self._work(request, answer)

    def _report(self, answer: ResponseWriter) -> None:
        report = {
            'sequence': self.orders,
            'born': self.born,
            'pace': self.pace,
            'layers': self._layers(),
            'busy': False,
        }
        answer.send(HTTPStatus.OK, (JSON_HEADER,), orjson.dumps(report))

    async def _order(
        self, request: CallerRequest, answer: ResponseWriter
    ) -> None:
        order = orjson.loads(request.body)
        if order['operation'] == 'repath':
            hops = _hops(order['path'])
            status = HTTPStatus.CONFLICT
            if not self.faults.refuses_detours and _are_there(
                hops, self.others
            ):
                status = self.stalls.go_on(order['id'], hops)
            answer.send(status, (), b'')
            return
        status, placed = judge_place(
            Placed(self.identity, self.orders, self.held),
            request.headers,
            request.body,
        )
        self.held = placed.held
        self.orders = placed.orders
        self.misdirected += status == HTTPStatus.MISDIRECTED_REQUEST
        if status == HTTPStatus.ACCEPTED and self.faults.take('late_orders'):
            await asyncio.sleep(FOREVER_S)
        answer.send(status, (), b'')

    async def _work(
        self, request: CallerRequest, answer: ResponseWriter
    ) -> None:
        given = {name.lower(): raw for name, raw in request.headers}
        status, culprit = self._check(given)
        if status:
            at = ((b'At-Server', culprit.encode()),)
            echo = _echo(given.get(b'mallowcrank-request-id', b''))
            answer.send(status, NOT_RUN + at + echo, b'')
            return
        ran = self._run(given, request.body)
        if self.faults.take('losses'):
            answer.abort()
        elif self.faults.take('failures'):
            answer.send(
                HTTPStatus.INTERNAL_SERVER_ERROR, _sealed(ran), b'failed'
            )
        elif self.held is None:
            body = b'%b answers %b' % (
                self.identity.encode(),
                request.target,
            )
            answer.send(HTTPStatus.OK, self._seal(ran), body)
        else:
            await self._stream(ran, answer)

    def _check(self, given: dict[bytes, bytes]) -> tuple[int, str]:
        """
        Return the status of a refusal and who is at fault, or 0.
        """
        mine = str(self.address)
        if is_for_another(self.identity, tuple(given.items())):
            return HTTPStatus.MISDIRECTED_REQUEST, mine
        if self.ran and self.faults.take('refusals_after'):
            return HTTPStatus.SERVICE_UNAVAILABLE, mine
        if self.faults.take('refusals') or self.state != 'ready':
            return HTTPStatus.SERVICE_UNAVAILABLE, mine
        for address, first, end in _hops(_path_of(given)):
            other = self.others.get(address)
            if other is None or other.state != 'ready':
                return HTTPStatus.SERVICE_UNAVAILABLE, address
            held = other.held or (0, 0)
            if first < held[0] or held[1] < end:
                return HTTPStatus.MISDIRECTED_REQUEST, address
        return 0, ''

    def _run(self, given: dict[bytes, bytes], body: bytes) -> Ran:
        layers = [
            layer
            for _, first, end in _hops(_path_of(given))
            for layer in range(first, end)
        ]
        ran = Ran(
            request=given.get(b'mallowcrank-request-id', b'').decode(),
            headers=tuple(given.items()),
            body=body,
            layers=tuple(layers),
            last_event=int(given.get(b'last-event-id', b'0')),
        )
        self.ran.append(ran)
        return ran

    def _seal(self, ran: Ran) -> Headers:
        if self.faults.take('unsealed'):
            return _echo(ran.request.encode())
        return _sealed(ran)

    async def _stream(self, ran: Ran, answer: ResponseWriter) -> None:
        cuts = self.faults.take('cuts')
        stalls = self.faults.take('stalls')
        half = (ran.last_event + EVENTS) // 2
        try:
            answer.begin(HTTPStatus.OK, self._seal(ran))
            for number in range(ran.last_event + 1, EVENTS + 1):
                await asyncio.sleep(EVENT_S)
                if cuts and number > half:
                    answer.write(b'id: %d\nda' % number)
                    answer.abort()
                    return
                if stalls and number > half:
                    stalls = False
                    await self.stalls.wait(ran.request)
                answer.write(b'id: %d\ndata: event %d\n\n' % (number, number))
            answer.finish()
        except asyncio.CancelledError:
            self.left.append(ran.request)
            raise


def _sealed(ran: Ran) -> Headers:
    seal = f'seal.{ran.request}'.encode()
    echo = _echo(ran.request.encode())
    return ((b'Mallowcrank-Response-Seal', seal), *echo)


def _echo(request: bytes) -> Headers:
    return ((b'Mallowcrank-Request-Id', request),)


def _path_of(given: dict[bytes, bytes]) -> str:
    return given.get(HOPS, b'').decode()


def _hops(path: str) -> list[tuple[str, int, int]]:
    hops = []
    for part in path.split(','):
        address, _, layers = part.partition('=')
        first, _, end = layers.partition('-')
        if end:
            hops.append((address, int(first), int(end)))
    return hops


def _are_there(
    hops: list[tuple[str, int, int]], others: dict[str, StandinReplica]
) -> bool:
    found = [others.get(address) for address, _, _ in hops]
    return all(other and not other.faults.is_silent for other in found)
