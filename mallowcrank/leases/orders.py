"""
Orders to engines, their stages and the state of engines.
"""

from dataclasses import dataclass
from enum import StrEnum, unique

from mallowcrank.leases.records import LeaseTimings


@unique
class Action(StrEnum):
    """
    What an order changes on an engine.
    """

    LOAD = 'load'
    ADAPTER = 'adapter'
    ROLE = 'role'


@unique
class Stage(StrEnum):
    """
    The progress of an order.

    `DRAINING`: routers send its target no new work, and work in flight ends.
    `SENT`: a message was sent to the engine. `APPLIED`: the engine's state
    matches the order, but an order of an earlier lease may still take effect.
    `EXPIRED`: the order waited too long for a lease, or its agent was paused;
    it was never sent.
    """

    QUEUED = 'queued'
    DRAINING = 'draining'
    SENT = 'sent'
    APPLIED = 'applied'
    DONE = 'done'
    FAILED = 'failed'
    EXPIRED = 'expired'

    @property
    def is_over(self) -> bool:
        """
        Tell whether this stage is final.
        """
        return self in {Stage.DONE, Stage.FAILED, Stage.EXPIRED}


@dataclass(frozen=True, slots=True)
class Order:
    """
    The state that an engine has to reach; repeating an order is harmless.

    :param serves: the name of the model to serve.
    :param version: the version to serve.
    :param first_layer: the first layer to hold.
    :param last_layer: the last layer to hold, inclusive.
    """

    target: str
    action: Action
    serves: str = ''
    version: str = ''
    first_layer: int = 0
    last_layer: int = 0
    role: str = ''


@dataclass(frozen=True, slots=True)
class EngineState:
    """
    An engine's state as read from it.

    :param load: streams in its batch; the figure lags behind.
    :param fencing: how it treats old fencing numbers: `checks`, `ignores` or
        `unstated`.
    :param fence: the highest fencing number that it has accepted, if known.
    :param leaving: whether it is shutting down.
    """

    serves: str
    version: str
    first_layer: int
    last_layer: int
    role: str
    load: int
    fencing: str
    fence: int | None = None
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class WeightRate:
    """
    The weight store's throughput, shared by all engines that load.
    """

    bytes_per_s: float
    bytes_per_layer: float


def is_fulfilled(order: Order, state: EngineState) -> bool:
    """
    Tell whether an engine's state matches an order.
    """
    if order.action is Action.ROLE:
        return state.role == order.role
    if order.action is Action.ADAPTER:
        return state.version == order.version
    return (
        state.serves,
        state.version,
        state.first_layer,
        state.last_layer,
    ) == (order.serves, order.version, order.first_layer, order.last_layer)


def order_lifetime_s(
    order: Order, rate: WeightRate | None, timings: LeaseTimings
) -> float | None:
    """
    Return the seconds within which an order may take effect.

    :param rate: the weight store's throughput; needed for loads.
    :returns: `None` if a load would take longer than orders may, or the rate
        is missing.
    """
    if order.action is not Action.LOAD:
        return timings.short_order_s
    if rate is None or rate.bytes_per_s <= 0:
        return None
    layers = order.last_layer - order.first_layer + 1
    load_s = layers * rate.bytes_per_layer / rate.bytes_per_s
    lifetime_s = timings.short_order_s + 1.5 * load_s
    return lifetime_s if lifetime_s <= timings.max_order_s else None
