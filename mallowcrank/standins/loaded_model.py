"""
What an engine holds, and the orders that change it.
"""

import threading
from dataclasses import dataclass, replace

from mallowcrank.calls import HttpCaller
from mallowcrank.clock import Clock
from mallowcrank.ports import Failure
from mallowcrank.standins.orders import ACCEPTED, Order, check_order
from mallowcrank.standins.settings import EngineSettings
from mallowcrank.standins.trace import Trace

LOAD_TIMEOUT_S = 120


@dataclass(frozen=True)
class LoadedModel:
    """
    What an engine holds.
    """

    serves: str
    version: str
    first_layer: int
    last_layer: int
    role: str = 'serving'

    @property
    def layers(self) -> tuple[int, int]:
        """
        Return the first and the last layer.
        """
        return self.first_layer, self.last_layer

    @property
    def layer_count(self) -> int:
        """
        Return the count of layers.
        """
        return self.last_layer - self.first_layer + 1


class OrderExecutor:
    """
    Takes orders and obeys them, each in a thread of its own.
    """

    def __init__(
        self, settings: EngineSettings, trace: Trace, clock: Clock
    ) -> None:
        self._settings = settings
        self._trace = trace
        self._clock = clock
        self._lock = threading.Lock()
        self._holding = LoadedModel(
            settings.target.serves, '', *settings.layers
        )
        self._fence: int | None = None

    @property
    def loaded_model(self) -> LoadedModel:
        """
        Return what is held now.
        """
        return self._holding

    @property
    def fence(self) -> int | None:
        """
        Return the highest fencing token seen, if any.
        """
        return self._fence

    def submit(self, order: Order) -> int:
        """
        Take an order, or refuse it.

        :returns: the HTTP status.
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
                target=self._obey, args=(order,), daemon=True
            ).start()
        return status

    def _obey(self, order: Order) -> None:
        if order.action == 'load' and not self._fetch_weights(order):
            return
        if self._clock.now() >= order.expires:
            self._trace.record('expired', order=order.order)
            return
        self._holding = _apply_order(order, self._holding)
        self._trace.record('obeyed', order=order.order, fence=order.fence)

    def _fetch_weights(self, order: Order) -> bool:
        if not self._settings.weight_store_address:
            return True
        path = (
            f'/weights/{order.serves}/{order.first_layer}-{order.last_layer}'
            f'?version={order.version}'
        )
        reply = HttpCaller(self._settings.weight_store_address).call(
            'GET', path, timeout_s=LOAD_TIMEOUT_S
        )
        return not isinstance(reply, Failure) and reply.status == ACCEPTED


def _apply_order(order: Order, holding: LoadedModel) -> LoadedModel:
    if order.action == 'role':
        return replace(holding, role=order.role or order.serves)
    if order.action == 'adapter':
        return replace(holding, version=order.version)
    return LoadedModel(
        order.serves,
        order.version,
        order.first_layer,
        order.last_layer,
        holding.role,
    )
