"""
The choice of a plain service's replica.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

from mallowcrank.routing.costs import Standing, step_time_ms
from mallowcrank.view import Target

SAMPLED = 4  # replicas that are weighed for one call


@dataclass(frozen=True, slots=True)
class ReplicaOptions:
    """
    What a replica is chosen from.

    :param replicas: those that may be used; not empty.
    :param standing_of: returns how a replica stands.
    """

    replicas: Sequence[Target]
    standing_of: Callable[[Target], Standing]
    random: Random


def choose_replica(options: ReplicaOptions) -> str:
    """
    Return the name of the replica that should answer first.
    """
    count = min(SAMPLED, len(options.replicas))
    sampled = options.random.sample(options.replicas, count)
    costs = {
        target.name: _cost_ms(target, options.standing_of(target))
        for target in sampled
    }
    return min(costs, key=costs.__getitem__)


def _cost_ms(target: Target, standing: Standing) -> float:
    return standing.link_ms + step_time_ms(target, standing)
