"""
Adaptive concurrency: how many requests of a pool this router runs at once.

The limit grows by steps while requests wait and the targets answer about as
fast as full batches allow, and shrinks by a part when they slow down. Equal
steps up and equal parts down bring routers with different limits together.
They need not speak to each other: the targets' slowdown is what they share.
"""

from dataclasses import dataclass, replace

MAX_SLOWDOWN = 4  # of a call, where full batches run and others wait
STEP_SHARE = 0.05  # growth of each adjustment, in parts of an even share
DECREASE_FACTOR = 0.95  # factor of each adjustment
ADJUSTMENT_PERIOD_S = 0.1  # between adjustments
MIN_LIMIT_FACTOR = (
    2  # times the streams that fill all batches: calls take time too
)
INITIAL_LIMIT_FACTOR = 3  # the same, to start with
MAX_LIMIT_FACTOR = 6  # the same, at most


@dataclass(frozen=True, slots=True)
class PoolLimit:
    """
    The limit of one pool.

    :param lowest: it never goes below.
    :param highest: it never goes above.
    :param step: by how much it grows.
    :param adjusted: steady time of the last adjustment, in seconds.
    """

    limit: float
    lowest: float
    highest: float
    step: float = 1
    adjusted_at_s: float = 0


def initial_limit(full_streams: float, routers: int) -> PoolLimit:
    """
    Return the limit to start with: an even share of what fills the pool.

    :param full_streams: streams that reach the pool's throughput bound.
    """
    full = max(1, full_streams)
    even = full / max(1, routers)
    return PoolLimit(
        limit=max(2, even * INITIAL_LIMIT_FACTOR),
        lowest=max(2, even * MIN_LIMIT_FACTOR),
        highest=max(2, full * MAX_LIMIT_FACTOR),
        step=even * STEP_SHARE,
    )


def resize(known: PoolLimit, fresh: PoolLimit) -> PoolLimit:
    """
    Return the limit after a change of the pool, in the same proportion.
    """
    scale = fresh.highest / known.highest
    limit = min(fresh.highest, max(fresh.lowest, known.limit * scale))
    return replace(fresh, limit=limit, adjusted_at_s=known.adjusted_at_s)


def adjust(
    known: PoolLimit, slowdown: float, waiting: int, now: float
) -> PoolLimit:
    """
    Return the limit after a look at the targets.

    :param slowdown: time of a call over the time of an idle step.
    :param waiting: requests that wait for room.
    """
    if now - known.adjusted_at_s < ADJUSTMENT_PERIOD_S:
        return known
    limit = known.limit
    if slowdown > MAX_SLOWDOWN:
        limit = max(known.lowest, limit * DECREASE_FACTOR)
    elif waiting:
        limit = min(known.highest, limit + known.step)
    return replace(known, limit=limit, adjusted_at_s=now)
