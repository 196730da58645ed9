"""
The stand-in for a model engine.
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

DRAIN_TIMEOUT_S = 30
DRAIN_POLL_S = 0.05
HOUSEKEEPING_PERIOD_S = 0.1
MS_PER_S = 1000


class Engine:
    """
    Serves one engine over HTTP.

    :param clock: its wall time at start gives the engine's incarnation.
    """

    def __init__(self, settings: EngineSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._name = settings.target.standin.name
        self._incarnation = int(clock.now() * MS_PER_S)
        self._leaving = False
        self._trace = Trace(settings.target, self._incarnation, clock)
        self._order_executor = OrderExecutor(settings, self._trace, clock)
        self._step_runner = StepRunner(
            settings,
            self._order_executor,
            self._trace,
            f'{self._name}.{self._incarnation}',
            clock,
        )
        self._reported_load = LaggedValue(settings.load_lag_s)
        self._registration = Registration(settings.target, 'engine')
        self._faults: Faults | None = None
        self._random = random.Random(settings.seed)
        self.answer = self._routes()

    # Queries

    def status(self, _request: Request) -> Response:
        """
        Answer `GET /status`.
        """
        loaded_model = self._order_executor.loaded_model
        return json_response(
            {
                'name': self._name,
                'kind': 'engine',
                'availability_zone': self._settings.target.availability_zone,
                'incarnation': self._incarnation,
                'serves': loaded_model.serves,
                'version': loaded_model.version,
                'first_layer': loaded_model.first_layer,
                'last_layer': loaded_model.last_layer,
                'step_ms': self._settings.step_ms,
                'slots': self._settings.slots,
                'load': self._reported_load.read(self._clock.steady()),
                'leaving': self._leaving,
                'memory_layers': self._settings.total_layers,
                'fencing': self._settings.fencing,
                'fence': self._order_executor.fence,
                'role': loaded_model.role,
            }
        )

    def cache_events(self, request: Request) -> Response:
        """
        Answer `GET /cache-events`.
        """
        next_number, events = self._step_runner.cache_events(
            int(request.query.get('from', '0'))
        )
        return json_response({'next': next_number, 'events': to_plain(events)})

    def export(self, request: Request) -> Response:
        """
        Answer `POST /export`.
        """
        payload = msgpack.unpackb(request.body)
        layers = range(payload['first_layer'], payload['last_layer'] + 1)
        exported = self._step_runner.export(
            payload['stream'], payload['attempt'], layers
        )
        if exported is None:
            return json_response({'error': 'there is no such state'}, 404)
        return Response(200, msgpack.packb(to_plain(exported)))

    # Commands

    def start(self, faults: Faults) -> None:
        """
        Start the accelerator, registration and housekeeping.

        :param faults: the faults injected into this engine.
        """
        self._faults = faults
        self._step_runner.start()
        self._registration.start(self._clock)
        self._trace.record('start')
        run_periodically(
            self._run_housekeeping, HOUSEKEEPING_PERIOD_S, self._clock
        )

    def steps(self, request: Request) -> Response:
        """
        Answer `POST /steps`.
        """
        raw_steps = msgpack.unpackb(request.body)['steps']
        results = list(
            self._step_runner.run(
                [from_plain(each, Step) for each in raw_steps]
            )
        )
        if self._faults and self._faults.triggers(Fault.CROSS):
            self._random.shuffle(results)
        return Response(200, msgpack.packb({'results': to_plain(results)}))

    def cancel(self, request: Request) -> Response:
        """
        Answer `POST /cancel`.
        """
        for stream, attempt in msgpack.unpackb(request.body)['streams']:
            self._step_runner.cancel(stream, attempt)
        return Response(200, msgpack.packb({}))

    def import_(self, request: Request) -> Response:
        """
        Answer `POST /import`.
        """
        payload = msgpack.unpackb(request.body)
        exported = from_plain(msgpack.unpackb(payload['exported']), ExportedKv)
        if not self._step_runner.import_(
            payload['stream'], payload['attempt'], exported
        ):
            return json_response({'error': 'the layers are held'}, 409)
        return Response(200, msgpack.packb({}))

    def order(self, request: Request) -> Response:
        """
        Answer `POST /orders`.
        """
        order = from_plain(request.json(), Order)
        status = self._order_executor.submit(order)
        return json_response({'order': order.order}, status)

    def apply_fault(self, order: FaultOrder) -> None:
        """
        Apply the faults that the engine implements itself.
        """
        if order.fault is Fault.CACHE_GAP:
            self._step_runner.drop_events(order.count or 1)

    def leave(self) -> None:
        """
        Announce that the engine is leaving.
        """
        if not self._leaving:
            self._leaving = True
            self._trace.record('leaving')
            self._registration.leave()

    def finish(self) -> None:
        """
        Wait until no step has run or waited for a while, for a limited time.
        """
        deadline = self._clock.steady() + DRAIN_TIMEOUT_S
        while (
            self._clock.steady() < deadline and not self._step_runner.is_quiet
        ):
            self._clock.sleep(DRAIN_POLL_S)
        self._trace.record('stop')

    def _run_housekeeping(self) -> None:
        self._reported_load.set(self._step_runner.load, self._clock.steady())
        self._step_runner.expire()

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
            routes.add(method, path, _reject_bad_requests(handler))
        return routes


BAD_REQUEST_ERRORS = (
    ValueError,
    KeyError,
    TypeError,
    BaseValidationError,
    msgpack.UnpackException,
)


def _reject_bad_requests(handler: Callable[[Request], Response]) -> Handler:
    def answer(request: Request) -> Response:
        try:
            return handler(request)
        except BAD_REQUEST_ERRORS as error:
            return json_response({'error': f'bad request: {error!r}'}, 400)

    return answer
