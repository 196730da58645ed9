"""
All specifications that `make models` checks.
"""

from mallowcrank.models.specification import Specification

SPECIFICATIONS: tuple[Specification, ...] = ()
