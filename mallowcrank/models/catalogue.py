"""
All specifications that `make models` checks.
"""

from mallowcrank.models.keyed_request import KEYED_REQUEST
from mallowcrank.models.lease import LEASE
from mallowcrank.models.specification import Specification
from mallowcrank.models.stream import STREAM

SPECIFICATIONS: tuple[Specification, ...] = (KEYED_REQUEST, STREAM, LEASE)
