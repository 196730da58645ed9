"""
What the policies of one router are built from.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from mallowcrank.routing.costs import LinkTimes
from mallowcrank.routing.strategies import Blended, SelectionStrategy
from mallowcrank.settings import RouterSettings


@dataclass(frozen=True)
class PolicySettings:
    """
    What both policies are built from.

    :param router: the router's own settings.
    :param steady: returns steady time in seconds.
    :param random: decides between targets.
    :param choice: the way to choose engines.
    """

    router: RouterSettings
    steady: Callable[[], float]
    random: Random
    strategy: SelectionStrategy = field(default_factory=Blended)
    links: LinkTimes = field(default_factory=LinkTimes)
