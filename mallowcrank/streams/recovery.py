"""
How a stream goes over to another path: which stages keep their KV state, and
how the others get theirs.
"""

from mallowcrank.router.ports import Route, Stage
from mallowcrank.streams.actions import Transfer
from mallowcrank.streams.state import StageState, StreamState


def adopt_route(state: StreamState, route: Route) -> StreamState:
    """
    Put a stream on a path.

    Stages that it shares with the old path go on with their KV state. The
    others start fresh ones under a new attempt number.
    """
    attempt = state.attempt + 1
    return state.evolve(
        attempt=attempt,
        stages=tuple(
            _reuse_or_start(state, stage, attempt) for stage in route.stages
        ),
        fallback=(),
        position=0,
        lost_calls=0,
        used_targets=state.used_targets
        | {stage.target for stage in route.stages},
    )


def rerun_for_missing_inputs(state: StreamState) -> StreamState:
    """
    Let stages run all tokens again where a later one lacks inputs of theirs.
    """
    stages = list(state.stages)
    for index in range(len(stages) - 1, 0, -1):
        before, after = stages[index - 1], stages[index]
        kept = len(state.inputs.get(after.stage.first_layer, ()))
        if before.token_count - kept > after.token_count:
            stages[index - 1] = StageState(before.stage, state.attempt)
    return state.evolve(stages=tuple(stages))


def find_transfer(state: StreamState) -> Transfer | None:
    """
    Find the fresh stage that can take over the state of the stage given up.
    """
    source = state.source
    if source is None:
        return None
    fresh = [each for each in state.stages if not each.token_count]
    if len(fresh) != 1 or _layers(fresh[0].stage) != _layers(source.stage):
        return None
    return Transfer(
        source=source.stage.target,
        attempt=source.attempt,
        stage=fresh[0].stage,
        new_attempt=state.attempt,
    )


def finish_transfer(state: StreamState, *, done: bool) -> StreamState:
    """
    Go on after a transfer, or with a fresh state where it failed.
    """
    attempt = state.attempt
    held = state.source.token_count if state.source else 0
    if not done:
        # The import may have taken effect all the same: use another number.
        attempt += 1
        held = 0
    stages = tuple(
        each if each.token_count else StageState(each.stage, attempt, held)
        for each in state.stages
    )
    return rerun_for_missing_inputs(
        state.evolve(attempt=attempt, stages=stages)
    )


def _reuse_or_start(
    state: StreamState, stage: Stage, attempt: int
) -> StageState:
    for old in state.stages:
        if old.stage == stage:
            return old
    return StageState(stage, attempt)


def _layers(stage: Stage) -> tuple[int, int]:
    return stage.first_layer, stage.last_layer
