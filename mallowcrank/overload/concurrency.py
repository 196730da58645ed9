"""
Adaptive limit on the requests of a pool that this router runs at once.

Additive increase, multiplicative decrease: the limit grows by a fixed step
while requests wait and the targets answer about as fast as full batches
allow, and shrinks by a factor when they slow down. This makes the limits of
different routers converge. The routers don't coordinate, because all of them
observe the same slowdown.
"""

from dataclasses import dataclass, replace

MAX_SLOWDOWN = 4  # of a call at which batches are full and calls wait
STEP_SHARE = 0.05  # of an even share, added at each increase
DECREASE_FACTOR = 0.95  # of the limit at each decrease
ADJUSTMENT_PERIOD_S = 0.1  # least time between adjustments
# Factors on the streams that fill all batches. Even the lowest is above 1,
# since calls take time besides the steps.
MIN_LIMIT_FACTOR = 2
INITIAL_LIMIT_FACTOR = 3
MAX_LIMIT_FACTOR = 6


@dataclass(frozen=True, slots=True)
class PoolLimit:
    """
    The limit on the running requests of one pool.

    :param limit: current limit, in requests.
    :param lowest: lower bound of the limit.
    :param highest: upper bound of the limit.
    :param step: requests added at each increase.
    :param adjusted_at_s: steady time of the last adjustment, in seconds.
    """

    limit: float
    lowest: float
    highest: float
    step: float = 1
    adjusted_at_s: float = 0


def initial_limit(full_streams: float, routers: int) -> PoolLimit:
    """
    Return the initial limit, based on an even share of the pool.

    :param full_streams: streams that reach the pool's throughput bound.
    :param routers: number of routers that share the pool.
    """
    full_pool = max(1, full_streams)
    even_share = full_pool / max(1, routers)
    return PoolLimit(
        limit=max(2, even_share * INITIAL_LIMIT_FACTOR),
        lowest=max(2, even_share * MIN_LIMIT_FACTOR),
        highest=max(2, full_pool * MAX_LIMIT_FACTOR),
        step=even_share * STEP_SHARE,
    )


def resize(current: PoolLimit, fresh: PoolLimit) -> PoolLimit:
    """
    Return the limit after a change of the pool, scaled in proportion.

    :param current: limit before the change.
    :param fresh: initial limit of the changed pool.
    """
    scale = fresh.highest / current.highest
    limit = min(fresh.highest, max(fresh.lowest, current.limit * scale))
    return replace(fresh, limit=limit, adjusted_at_s=current.adjusted_at_s)


def adjust(
    current: PoolLimit, slowdown: float, waiting: int, now: float
) -> PoolLimit:
    """
    Return the limit adjusted to the observed slowdown.

    :param slowdown: time of a call relative to that of an idle step.
    :param waiting: number of requests that wait.
    :param now: steady time, in seconds.
    """
    if now - current.adjusted_at_s < ADJUSTMENT_PERIOD_S:
        return current
    limit = current.limit
    if slowdown > MAX_SLOWDOWN:
        limit = max(current.lowest, limit * DECREASE_FACTOR)
    elif waiting:
        limit = min(current.highest, limit + current.step)
    return replace(current, limit=limit, adjusted_at_s=now)
