"""
Lists all specifications that `make models` checks.
"""

from mallowcrank.models.fold import FOLD
from mallowcrank.models.keyed_request import KEYED_REQUEST
from mallowcrank.models.lease import LEASE
from mallowcrank.models.placing_orders import PLACING_ORDERS
from mallowcrank.models.replica import REPLICA
from mallowcrank.models.specification import Specification
from mallowcrank.models.stream import STREAM
from mallowcrank.models.stream_moves import STREAM_MOVES

SPECIFICATIONS: tuple[Specification, ...] = (
    FOLD,
    REPLICA,
    KEYED_REQUEST,
    STREAM,
    STREAM_MOVES,
    LEASE,
    PLACING_ORDERS,
)
