"""
Orders to engines, and what is known of them.
"""

from dataclasses import dataclass
from enum import StrEnum, unique

from mallowcrank.leases.records import LeaseTimings


@unique
class Action(StrEnum):
    """
    What an engine is told to do.
    """

    LOAD = 'load'
    ADAPTER = 'adapter'
    ROLE = 'role'


@unique
class Stage(StrEnum):
    """
    How far an order has come.

    `DRAINING`: routers give its target nothing new, work in flight ends.
    `SENT`: the engine was told. `APPLIED`: the engine was read back and is as
    ordered, but an order of an earlier lease may still be at work. `EXPIRED`:
    it waited too long for a lease, and was never sent.
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
        Tell whether nothing more will be done.
        """
        return self in {Stage.DONE, Stage.FAILED, Stage.EXPIRED}


@dataclass(frozen=True, slots=True)
class Order:
    """
    What an engine shall be like; absolute, so that repeating it is harmless.

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
    An engine as it was read back.

    :param load: streams in its batch; lags.
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
    The weight store's rate, shared by all who load.
    """

    bytes_per_s: float
    bytes_per_layer: float


def is_fulfilled(order: Order, state: EngineState) -> bool:
    """
    Tell whether an engine is as an order wants it.
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
    Return the seconds that an order may be at work.

    :param rate: the weight store's; needed for loads.
    :returns: `None` where it would take longer than any order may.
    """
    if order.action is not Action.LOAD:
        return timings.short_order_s
    if rate is None or rate.bytes_per_s <= 0:
        return None
    layers = order.last_layer - order.first_layer + 1
    loading_s = layers * rate.bytes_per_layer / rate.bytes_per_s
    life = timings.short_order_s + 1.5 * loading_s
    return life if life <= timings.max_order_s else None
