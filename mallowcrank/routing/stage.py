"""
One engine's part of a path.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Stage:
    """
    One engine's part of a route; the layers are inclusive.
    """

    target: str
    incarnation: int
    first_layer: int
    last_layer: int
