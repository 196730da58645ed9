"""
Settings of a router's policies.
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
    Settings shared by the admission and route policies.

    :param router: settings of the router.
    :param steady: returns steady time in seconds.
    :param random: source of randomness for sampling targets.
    :param strategy: selects candidate engines.
    :param links: round-trip times to targets.
    """

    router: RouterSettings
    steady: Callable[[], float]
    random: Random
    strategy: SelectionStrategy = field(default_factory=Blended)
    links: LinkTimes = field(default_factory=LinkTimes)
