"""
The model-engine stand-in.
"""

import random
from collections.abc import Callable

import msgpack
from cattrs import BaseValidationError

from mallowcrank.clock import Clock
from mallowcrank.codec import from_plain, to_plain
from mallowcrank.ports import Step
from mallowcrank.standins.faults import Fault, FaultOrder, Faults
from mallowcrank.standins.kv import ExportedKv
from mallowcrank.standins.lagged_value import LaggedValue
from mallowcrank.standins.loaded_model import OrderExecutor
from mallowcrank.standins.orders import Order
from mallowcrank.standins.program import run_periodically
from mallowcrank.standins.registration import Registration
from mallowcrank.standins.settings import EngineSettings
from mallowcrank.standins.step_runner import StepRunner
from mallowcrank.standins.trace import Trace
from mallowcrank.web import Handler, Request, Response, Routes, json_response

FINISH_LIMIT_S = 30
POLL_S = 0.05
HOUSEKEEPING_S = 0.1
MS_PER_S = 1000


class Engine:
    """
    One engine behind HTTP.
    """

    def __init__(self, settings: EngineSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._name = settings.target.standin.name
        self._incarnation = int(clock.now() * MS_PER_S)
        self._leaving = False
        self._trace = Trace(settings.target, self._incarnation, clock)
        self._holder = OrderExecutor(settings, self._trace, clock)
        self._stepper = StepRunner(
            settings,
            self._holder,
            self._trace,
            f'{self._name}.{self._incarnation}',
            clock,
        )
        self._load = LaggedValue(settings.load_lag_s)
        self._registration = Registration(settings.target, 'engine')
        self._faults: Faults | None = None
        self._random = random.Random(settings.seed)
        self.answer = self._routes()

    # Queries

    def status(self, _request: Request) -> Response:
        """
        Answer `GET /status`.
        """
        holding = self._holder.loaded_model
        return json_response(
            {
                'name': self._name,
                'kind': 'engine',
                'availability_zone': self._settings.target.availability_zone,
                'incarnation': self._incarnation,
                'serves': holding.serves,
                'version': holding.version,
                'first_layer': holding.first_layer,
                'last_layer': holding.last_layer,
                'step_ms': self._settings.step_ms,
                'slots': self._settings.slots,
                'load': self._load.read(self._clock.steady()),
                'leaving': self._leaving,
                'memory_layers': self._settings.total_layers,
                'fencing': self._settings.fencing,
                'fence': self._holder.fence,
                'role': holding.role,
            }
        )

    def cache_events(self, request: Request) -> Response:
        """
        Answer `GET /cache-events`.
        """
        following, told = self._stepper.cache_events(
            int(request.query.get('from', '0'))
        )
        return json_response({'next': following, 'events': to_plain(told)})

    def export(self, request: Request) -> Response:
        """
        Answer `POST /export`.
        """
        asked = msgpack.unpackb(request.body)
        layers = range(asked['first_layer'], asked['last_layer'] + 1)
        exported = self._stepper.export(
            asked['stream'], asked['attempt'], layers
        )
        if exported is None:
            return json_response({'error': 'there is no such state'}, 404)
        return Response(200, msgpack.packb(to_plain(exported)))

    # Commands

    def start(self, faults: Faults) -> None:
        """
        Start the accelerator, registration and housekeeping.
        """
        self._faults = faults
        self._stepper.start()
        self._registration.start(self._clock)
        self._trace.record('start')
        run_periodically(self._keep_house, HOUSEKEEPING_S, self._clock)

    def steps(self, request: Request) -> Response:
        """
        Answer `POST /steps`.
        """
        asked = msgpack.unpackb(request.body)['steps']
        outcomes = list(
            self._stepper.run([from_plain(each, Step) for each in asked])
        )
        if self._faults and self._faults.triggers(Fault.CROSS):
            self._random.shuffle(outcomes)
        return Response(200, msgpack.packb({'results': to_plain(outcomes)}))

    def cancel(self, request: Request) -> Response:
        """
        Answer `POST /cancel`.
        """
        for stream, attempt in msgpack.unpackb(request.body)['streams']:
            self._stepper.cancel(stream, attempt)
        return Response(200, msgpack.packb({}))

    def import_(self, request: Request) -> Response:
        """
        Answer `POST /import`.
        """
        asked = msgpack.unpackb(request.body)
        exported = from_plain(msgpack.unpackb(asked['exported']), ExportedKv)
        if not self._stepper.import_(
            asked['stream'], asked['attempt'], exported
        ):
            return json_response({'error': 'the layers are held'}, 409)
        return Response(200, msgpack.packb({}))

    def order(self, request: Request) -> Response:
        """
        Answer `POST /orders`.
        """
        order = from_plain(request.json(), Order)
        status = self._holder.submit(order)
        return json_response({'order': order.order}, status)

    def apply_fault(self, order: FaultOrder) -> None:
        """
        Bring about the faults of an engine's own.
        """
        if order.fault is Fault.CACHE_GAP:
            self._stepper.drop_events(order.count or 1)

    def leave(self) -> None:
        """
        Say that the engine is leaving.
        """
        if not self._leaving:
            self._leaving = True
            self._trace.record('leaving')
            self._registration.leave()

    def finish(self) -> None:
        """
        Wait until no stream has moved for a while.
        """
        end = self._clock.steady() + FINISH_LIMIT_S
        while self._clock.steady() < end and not self._stepper.is_quiet:
            self._clock.sleep(POLL_S)
        self._trace.record('stop')

    def _keep_house(self) -> None:
        self._load.set(self._stepper.load, self._clock.steady())
        self._stepper.expire()

    def _routes(self) -> Routes:
        routes = Routes()
        routes.add('GET', '/status', self.status)
        for method, path, handler in (
            ('GET', '/cache-events', self.cache_events),
            ('POST', '/steps', self.steps),
            ('POST', '/cancel', self.cancel),
            ('POST', '/export', self.export),
            ('POST', '/import', self.import_),
            ('POST', '/orders', self.order),
        ):
            routes.add(method, path, _checked(handler))
        return routes


BAD_REQUEST_ERRORS = (
    ValueError,
    KeyError,
    TypeError,
    BaseValidationError,
    msgpack.UnpackException,
)


def _checked(handler: Callable[[Request], Response]) -> Handler:
    def answer(request: Request) -> Response:
        try:
            return handler(request)
        except BAD_REQUEST_ERRORS as error:
            return json_response({'error': f'bad request: {error!r}'}, 400)

    return answer
