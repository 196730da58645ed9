"""
The limits of all workspaces, as far as this router gives them out.
"""

from dataclasses import dataclass, replace
from math import inf

from mallowcrank.limits.bucket import Bucket, bucket_capacity
from mallowcrank.limits.demand import DemandMeter
from mallowcrank.limits.shares import (
    GRANT_TTL_S,
    PROPAGATION_S,
    DemandSnapshot,
    PeerCount,
    WorkspaceDemand,
    demands_to_report,
    granted_share,
)
from mallowcrank.view import WorkspaceSettings, demand_turn_s

IDLE_WORKSPACE_TTL_S = 60  # until a workspace without requests is forgotten
STREAM_RETRY_AFTER_S = 1
NEW_DEMAND_S = 2 * PROPAGATION_S  # for which a demand counts as new


@dataclass(frozen=True, slots=True)
class OverLimit:
    """
    The sentinel for a request that passes a limit.

    :param limit: which one, in words for the caller.
    :param wait_s: seconds until it may pass.
    """

    limit: str
    wait_s: float


@dataclass(slots=True)
class _Account:
    requests: Bucket
    tokens: Bucket
    meter: DemandMeter
    streams: int = 0


class LimitLedger:
    """
    Takes requests out of the workspaces' limits.
    """

    def __init__(self) -> None:
        self._accounts: dict[str, _Account] = {}
        self._active: dict[str, _Account] = {}
        self._heard = DemandSnapshot(PeerCount(1, reachable=True))
        self._told: dict[str, float] = {}
        self._reported: frozenset[str] = frozenset()
        self._last_report = inf

    # Queries

    def __len__(self) -> int:
        """
        Return the count of workspaces with a state.
        """
        return len(self._accounts)

    def granted_share(self, workspace: str, now: float) -> float:
        """
        Return the part of a workspace's limits that is granted here.
        """
        hearing = self._heard.peers
        if now - self._last_report > GRANT_TTL_S:
            hearing = replace(hearing, reachable=False)
        settled: float = 0
        if now - self._told.get(workspace, inf) >= PROPAGATION_S:
            settled = self._heard.own.get(workspace, 0)
        asked = WorkspaceDemand(
            settled=settled,
            others=self._heard.others.get(workspace, 0),
            is_new=self._is_new(workspace, now),
            is_home=self._heard.is_home(workspace),
        )
        return granted_share(asked, hearing)

    # Commands

    def update_peers(self, heard: DemandSnapshot, now: float) -> None:
        """
        Take over what is known of the peers, and what they know.
        """
        self._heard = heard
        self._told = {name: self._told.get(name, now) for name in heard.own}

    def report(self, now: float) -> dict[str, float]:
        """
        Return the demands to report to the agent: O(workspaces with requests
        in the last seconds).
        """
        asked: dict[str, float] = {}
        for name, account in tuple(self._active.items()):
            account.meter.roll(now)
            asked[name] = account.meter.mean
            if account.meter.is_idle:
                self._active.pop(name)
        reported = demands_to_report(asked, self._heard.peers.routers)
        self._reported = frozenset(reported)
        self._last_report = now
        return reported

    def admit(
        self, workspace: WorkspaceSettings, tokens: int, now: float
    ) -> OverLimit | None:
        """
        Take one request and its estimated tokens out of the limits.
        """
        account = self._account(workspace, now)
        account.meter.add(_part(workspace, account, tokens), now)
        self._active[workspace.name] = account
        granted = self.granted_share(workspace.name, now)
        passed = _check(workspace, account, granted, now)
        if passed is None:
            account.requests.left -= 1
            account.tokens.left -= tokens
            account.streams += 1
        return passed

    def release(self, workspace: str, unused_tokens: int) -> None:
        """
        End a stream and settle its tokens; a negative number takes more.
        """
        account = self._accounts.get(workspace)
        if account is not None:
            account.streams -= 1
            account.tokens.left += unused_tokens

    def cancel(self, workspace: str, tokens: int) -> None:
        """
        Put back all that a request took, since it did not start.
        """
        account = self._accounts.get(workspace)
        if account is not None:
            account.requests.left += 1
        self.release(workspace, tokens)

    def forget_idle(self, now: float) -> None:
        """
        Forget workspaces that have had no request for a while.
        """
        idle = [
            name
            for name, account in self._accounts.items()
            if not account.streams
            and now - account.requests.refilled_at_s > IDLE_WORKSPACE_TTL_S
        ]
        for name in idle:
            self._accounts.pop(name)
            self._active.pop(name, None)

    def _is_new(self, workspace: str, now: float) -> bool:
        """
        Tell whether peers have had no time yet to hear of a demand.

        A report may wait for its turn in the agents' bytes.
        """
        account = self._accounts.get(workspace)
        if account is None:
            return True
        age_s = now - account.meter.busy_since_s
        if age_s <= NEW_DEMAND_S:
            return True
        is_waiting = workspace in self._reported and (
            workspace not in self._told
        )
        turn_s = demand_turn_s(self._heard.peers.routers)
        return is_waiting and age_s <= NEW_DEMAND_S + turn_s

    def _account(self, workspace: WorkspaceSettings, now: float) -> _Account:
        known = self._accounts.get(workspace.name)
        if known is None:
            part = self.granted_share(workspace.name, now)
            known = _Account(
                requests=Bucket(
                    bucket_capacity(workspace.request_rate * part), now
                ),
                tokens=Bucket(
                    bucket_capacity(workspace.token_rate * part), now
                ),
                meter=DemandMeter(now, busy_since_s=now),
            )
            self._accounts[workspace.name] = known
        return known


def _part(
    workspace: WorkspaceSettings, account: _Account, tokens: int
) -> float:
    streams = 0
    if not account.meter.current:
        streams = account.streams / max(1, workspace.streams)
    return max(
        1 / max(workspace.request_rate, 0.001),
        tokens / max(workspace.token_rate, 0.001),
        streams,
    )


def _check(
    workspace: WorkspaceSettings, account: _Account, part: float, now: float
) -> OverLimit | None:
    request_rate = workspace.request_rate * part
    token_rate = workspace.token_rate * part
    account.requests.refill(request_rate, now)
    account.tokens.refill(token_rate, now)
    if account.streams >= max(1, workspace.streams * part):
        return OverLimit('concurrent streams', STREAM_RETRY_AFTER_S)
    if account.requests.left < 1:
        wait_s = (1 - account.requests.left) / max(request_rate, 0.001)
        return OverLimit('requests a second', wait_s)
    wait_s = account.tokens.wait_s(token_rate)
    return OverLimit('tokens a second', wait_s) if wait_s else None
