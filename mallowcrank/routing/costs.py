"""
What a stream would cost on an engine, in milliseconds for each token.
"""

from dataclasses import dataclass

from mallowcrank.routing.path import Candidate
from mallowcrank.view import Target, TargetState

PROMPT_TOKENS_PER_STEP = 16  # prompt tokens that cost as much as one step
ASSUMED_ANSWER_TOKENS = 64  # over which a prompt's cost is spread
CROWDING_WEIGHT = 0.25  # weight of a load below full batches, to spread streams
SUSPECT_COST_FACTOR = 4  # of the cost, for what agents suspect


@dataclass(frozen=True, slots=True)
class LinkTimes:
    """
    Round trips in milliseconds.

    :param same_zone_ms: to targets in the router's availability zone.
    :param other_zone_ms: to targets elsewhere.
    """

    same_zone_ms: float = 0.2
    other_zone_ms: float = 1.2

    def round_trip_ms(self, target: Target, availability_zone: str) -> float:
        """
        Return the round trip to a target.

        :param availability_zone: the router's own.
        """
        if target.availability_zone == availability_zone:
            return self.same_zone_ms
        return self.other_zone_ms


@dataclass(frozen=True, slots=True)
class CostInputs:
    """
    How a target stands at the moment.

    :param load: its corrected load, in streams.
    :param weight: the part of its normal work that it should get.
    :param link_ms: round trip to it.
    """

    load: float
    weight: float
    link_ms: float


def candidate_of(
    target: Target, standing: CostInputs, uncached_tokens: float
) -> Candidate:
    """
    Return what an engine would cost a path.

    :param uncached_tokens: prompt tokens that no cache on it should hold.
    """
    layers = target.last_layer - target.first_layer + 1
    step_ms = step_time_ms(target, standing)
    prompt_ms: float = 0
    if target.first_layer == 0:
        units = uncached_tokens / PROMPT_TOKENS_PER_STEP / ASSUMED_ANSWER_TOKENS
        prompt_ms = units * step_ms
    return Candidate(
        target=target.name,
        incarnation=target.incarnation,
        first_layer=target.first_layer,
        last_layer=target.last_layer,
        enter_ms=standing.link_ms + prompt_ms,
        layer_ms=step_ms / layers,
    )


def step_time_ms(target: Target, standing: CostInputs) -> float:
    """
    Return the time of a step through all layers that a target holds.
    """
    slots = max(1, target.slots) * standing.weight
    crowd = (standing.load + 1) / slots
    factor = max(1, crowd) + CROWDING_WEIGHT * crowd
    if target.state is TargetState.SUSPECT:
        factor *= SUSPECT_COST_FACTOR
    return target.step_ms * factor
