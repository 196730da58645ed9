"""
A stage of a path.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Stage:
    """
    The layers of a route that one engine runs; both ends are inclusive.
    """

    target: str
    incarnation: int
    first_layer: int
    last_layer: int
