"""
Adaptive concurrency: how many requests of a pool this router runs at once.

The limit grows while requests wait and the targets answer about as fast as
their batches allow, and shrinks by a part when they slow down. Routers need
not speak to each other for it: the targets' slowdown is what they share.
"""

from dataclasses import dataclass, replace

GROW_BELOW = 2.5  # slowdown of full batches: one runs and one waits
SHRINK_ABOVE = 3.5
GROWTH = 1.05  # factor of each adjustment
SHRINKING = 0.9
PERIOD_S = 0.1  # between adjustments
HEADROOM = 1.25  # over the streams that fill all batches


@dataclass(frozen=True, slots=True)
class PoolLimit:
    """
    The limit of one pool.

    :param lowest: it never goes below.
    :param highest: it never goes above.
    :param adjusted: steady time of the last adjustment, in seconds.
    """

    limit: float
    lowest: float
    highest: float
    adjusted: float = 0


def first_limit(full_streams: float, routers: int) -> PoolLimit:
    """
    Return the limit to start with: an even share of what fills the pool.

    :param full_streams: streams that reach the pool's throughput bound.
    """
    pool = max(1, full_streams * HEADROOM)
    even = max(2, pool / max(1, routers))
    return PoolLimit(limit=even, lowest=max(1, even / 4), highest=max(2, pool))


def resize(known: PoolLimit, fresh: PoolLimit) -> PoolLimit:
    """
    Return the limit after a change of the pool, in the same proportion.
    """
    scale = fresh.highest / known.highest
    limit = min(fresh.highest, max(fresh.lowest, known.limit * scale))
    return replace(fresh, limit=limit, adjusted=known.adjusted)


def adjust(
    known: PoolLimit, slowdown: float, waiting: int, now: float
) -> PoolLimit:
    """
    Return the limit after a look at the targets.

    :param slowdown: time of a call over the time of an idle step.
    :param waiting: requests that wait for room.
    """
    if now - known.adjusted < PERIOD_S:
        return known
    limit = known.limit
    if slowdown > SHRINK_ABOVE:
        limit = max(known.lowest, limit * SHRINKING)
    elif waiting and slowdown < GROW_BELOW:
        limit = min(known.highest, max(limit + 1, limit * GROWTH))
    return replace(known, limit=limit, adjusted=now)
