"""
The choice of a plain service's replica.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

from mallowcrank.routing.costs import CostInputs, step_time_ms
from mallowcrank.view import Target

MAX_SAMPLED_REPLICAS = 4  # replicas that are weighed for one call


@dataclass(frozen=True, slots=True)
class ReplicaOptions:
    """
    What a replica is chosen from.

    :param replicas: those that may be used; not empty.
    :param standing_of: returns how a replica stands.
    """

    replicas: Sequence[Target]
    cost_inputs_of: Callable[[Target], CostInputs]
    random: Random


def choose_replica(options: ReplicaOptions) -> str:
    """
    Return the name of the replica that should answer first.
    """
    count = min(MAX_SAMPLED_REPLICAS, len(options.replicas))
    sampled = options.random.sample(options.replicas, count)
    costs = {
        target.name: _cost_ms(target, options.cost_inputs_of(target))
        for target in sampled
    }
    return min(costs, key=costs.__getitem__)


def _cost_ms(target: Target, standing: CostInputs) -> float:
    return standing.link_ms + step_time_ms(target, standing)
