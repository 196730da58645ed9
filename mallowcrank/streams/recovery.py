"""
Switch of a stream to another path: which stages keep their KV state, and how
the state of the others is rebuilt.
"""

from mallowcrank.router.ports import Route, Stage
from mallowcrank.streams.actions import Transfer
from mallowcrank.streams.state import StageState, StreamState


def adopt_route(state: StreamState, route: Route) -> StreamState:
    """
    Switch a stream to a path.

    Stages that are also on the old path keep their KV state. The others start
    with an empty one under a new attempt number.
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
    Reset stages whose outputs are needed again as inputs of a later stage and
    were not retained, so that they run all tokens again.
    """
    stages = list(state.stages)
    for index in range(len(stages) - 1, 0, -1):
        before, after = stages[index - 1], stages[index]
        retained = len(state.inputs.get(after.stage.first_layer, ()))
        if before.token_count - retained > after.token_count:
            stages[index - 1] = StageState(before.stage, state.attempt)
    return state.evolve(stages=tuple(stages))


def find_transfer(state: StreamState) -> Transfer | None:
    """
    Return the transfer of KV state from the replaced stage to the one new
    stage, or `None` if there is no such pair with the same layers.
    """
    source = state.source
    if source is None:
        return None
    new_stages = [each for each in state.stages if not each.token_count]
    if len(new_stages) != 1 or _layers(new_stages[0].stage) != _layers(
        source.stage
    ):
        return None
    return Transfer(
        source=source.stage.target,
        attempt=source.attempt,
        stage=new_stages[0].stage,
        new_attempt=state.attempt,
    )


def finish_transfer(state: StreamState, *, done: bool) -> StreamState:
    """
    Continue after a transfer, with an empty KV state if it failed.
    """
    attempt = state.attempt
    imported = state.source.token_count if state.source else 0
    if not done:
        # The import may have taken effect nevertheless; use a new number.
        attempt += 1
        imported = 0
    stages = tuple(
        each if each.token_count else StageState(each.stage, attempt, imported)
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
