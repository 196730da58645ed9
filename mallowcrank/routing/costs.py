"""
Estimates the cost of a stream on an engine, in milliseconds for each token.
"""

from dataclasses import dataclass

from mallowcrank.routing.path import Candidate
from mallowcrank.view import Target, TargetState

PROMPT_TOKENS_PER_STEP = 16  # prompt tokens that cost as much as one step
ASSUMED_ANSWER_TOKENS = 64  # a prompt's cost is spread over its answer
CROWDING_WEIGHT = 0.25  # spreads streams even where batches are not full
SUSPECT_COST_FACTOR = 4  # for targets that agents suspect to have failed


@dataclass(frozen=True, slots=True)
class LinkTimes:
    """
    Round-trip times between a router and targets.

    :param same_zone_ms: to targets in the router's availability zone.
    :param other_zone_ms: to targets in other availability zones.
    """

    same_zone_ms: float = 0.2
    other_zone_ms: float = 1.2

    def round_trip_ms(self, target: Target, availability_zone: str) -> float:
        """
        Return the round-trip time to a target, in milliseconds.

        :param availability_zone: the router's own zone.
        """
        if target.availability_zone == availability_zone:
            return self.same_zone_ms
        return self.other_zone_ms


@dataclass(frozen=True, slots=True)
class CostInputs:
    """
    The current state of a target that its cost depends on.

    :param load: estimated load, in streams.
    :param weight: fraction of its normal work that it should get.
    :param link_ms: round-trip time, in milliseconds.
    """

    load: float
    weight: float
    link_ms: float


def candidate_of(
    target: Target, inputs: CostInputs, uncached_tokens: float
) -> Candidate:
    """
    Return an engine with its cost as a candidate for a path.

    :param uncached_tokens: prompt tokens that its cache probably lacks.
    """
    layers = target.last_layer - target.first_layer + 1
    step_ms = step_time_ms(target, inputs)
    prompt_ms: float = 0
    if target.first_layer == 0:
        steps = uncached_tokens / PROMPT_TOKENS_PER_STEP / ASSUMED_ANSWER_TOKENS
        prompt_ms = steps * step_ms
    return Candidate(
        target=target.name,
        incarnation=target.incarnation,
        first_layer=target.first_layer,
        last_layer=target.last_layer,
        enter_ms=inputs.link_ms + prompt_ms,
        layer_ms=step_ms / layers,
    )


def step_time_ms(target: Target, inputs: CostInputs) -> float:
    """
    Return the time of one step through all layers that a target holds.

    :returns: milliseconds, adjusted for load and suspicion.
    """
    slots = max(1, target.slots) * inputs.weight
    utilization = (inputs.load + 1) / slots
    factor = max(1, utilization) + CROWDING_WEIGHT * utilization
    if target.state is TargetState.SUSPECT:
        factor *= SUSPECT_COST_FACTOR
    return target.step_ms * factor
