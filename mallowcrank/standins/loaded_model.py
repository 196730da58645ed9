"""
The model layers that an engine holds, and the orders that change them.
"""

import threading
from dataclasses import dataclass, replace

from mallowcrank.calls import HttpCaller
from mallowcrank.clock import Clock
from mallowcrank.ports import Failure
from mallowcrank.standins.orders import ACCEPTED, Order, check_order
from mallowcrank.standins.settings import EngineSettings
from mallowcrank.standins.trace import Trace

WEIGHTS_TIMEOUT_S = 120


@dataclass(frozen=True)
class LoadedModel:
    """
    The model, layers and role of an engine.

    :param serves: the model's name.
    :param version: the version of the weights or adapter; empty at start.
    :param role: `serving`, or the role set by the last `role` order.
    """

    serves: str
    version: str
    first_layer: int
    last_layer: int
    role: str = 'serving'

    @property
    def layers(self) -> tuple[int, int]:
        """
        Return the first and the last layer, both inclusive.
        """
        return self.first_layer, self.last_layer

    @property
    def layer_count(self) -> int:
        """
        Return the number of layers.
        """
        return self.last_layer - self.first_layer + 1


class OrderExecutor:
    """
    Checks orders and executes accepted ones, each in its own thread.
    """

    def __init__(
        self, settings: EngineSettings, trace: Trace, clock: Clock
    ) -> None:
        self._settings = settings
        self._trace = trace
        self._clock = clock
        self._lock = threading.Lock()
        self._loaded_model = LoadedModel(
            settings.target.serves, '', *settings.layers
        )
        self._fence: int | None = None

    @property
    def loaded_model(self) -> LoadedModel:
        """
        Return what the engine holds at present.
        """
        return self._loaded_model

    @property
    def fence(self) -> int | None:
        """
        Return the highest fencing token accepted so far, if any.
        """
        return self._fence

    def submit(self, order: Order) -> int:
        """
        Check an order and start to execute it if it is accepted.

        :returns: the HTTP status of the response.
        """
        with self._lock:
            status = check_order(
                order, self._settings.fencing, self._fence, self._clock.now()
            )
            if status == ACCEPTED:
                self._fence = max(order.fence, self._fence or order.fence)
        self._trace.record(
            'order', order=order.order, fence=order.fence, status=status
        )
        if status == ACCEPTED:
            threading.Thread(
                target=self._execute, args=(order,), daemon=True
            ).start()
        return status

    def _execute(self, order: Order) -> None:
        if order.action == 'load' and not self._fetch_weights(order):
            return
        if self._clock.now() >= order.expires:
            self._trace.record('expired', order=order.order)
            return
        self._loaded_model = _apply_order(order, self._loaded_model)
        self._trace.record('obeyed', order=order.order, fence=order.fence)

    def _fetch_weights(self, order: Order) -> bool:
        if not self._settings.weight_store_address:
            return True
        path = (
            f'/weights/{order.serves}/{order.first_layer}-{order.last_layer}'
            f'?version={order.version}'
        )
        response = HttpCaller(self._settings.weight_store_address).call(
            'GET', path, timeout_s=WEIGHTS_TIMEOUT_S
        )
        return not isinstance(response, Failure) and response.status == ACCEPTED


def _apply_order(order: Order, loaded_model: LoadedModel) -> LoadedModel:
    if order.action == 'role':
        return replace(loaded_model, role=order.role or order.serves)
    if order.action == 'adapter':
        return replace(loaded_model, version=order.version)
    return LoadedModel(
        order.serves,
        order.version,
        order.first_layer,
        order.last_layer,
        loaded_model.role,
    )
