"""
Chooses a replica of a plain service.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

from mallowcrank.routing.costs import CostInputs, step_time_ms
from mallowcrank.view import Target

MAX_SAMPLED_REPLICAS = 4  # compared for one call


@dataclass(frozen=True, slots=True)
class ReplicaOptions:
    """
    Inputs of a replica choice.

    :param replicas: usable replicas; not empty.
    :param cost_inputs_of: returns the inputs of a replica's cost.
    :param random: source of randomness for sampling replicas.
    """

    replicas: Sequence[Target]
    cost_inputs_of: Callable[[Target], CostInputs]
    random: Random


def choose_replica(options: ReplicaOptions) -> str:
    """
    Return the name of the replica with the lowest expected response time.
    """
    count = min(MAX_SAMPLED_REPLICAS, len(options.replicas))
    sampled = options.random.sample(options.replicas, count)
    costs = {
        target.name: _cost_ms(target, options.cost_inputs_of(target))
        for target in sampled
    }
    return min(costs, key=costs.__getitem__)


def _cost_ms(target: Target, inputs: CostInputs) -> float:
    return inputs.link_ms + step_time_ms(target, inputs)
