"""
Admission of requests within this router's share of the workspaces' limits.
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
from mallowcrank.view import WorkspaceSettings, demand_interval_s

IDLE_WORKSPACE_TTL_S = 60  # without requests
STREAM_RETRY_AFTER_S = 1
NEW_DEMAND_S = 2 * PROPAGATION_S  # how long a demand counts as new


@dataclass(frozen=True, slots=True)
class OverLimit:
    """
    A refusal of a request that exceeds a limit.

    :param limit: name of the limit, shown to the caller.
    :param wait_s: seconds until the request may be admitted.
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
    Counts requests against the workspaces' limits.
    """

    def __init__(self) -> None:
        self._accounts: dict[str, _Account] = {}
        self._active: dict[str, _Account] = {}
        self._snapshot = DemandSnapshot(PeerCount(1, reachable=True))
        self._published_at_s: dict[str, float] = {}
        self._reported: frozenset[str] = frozenset()
        self._last_report = inf

    # Queries

    def __len__(self) -> int:
        """
        Return the number of workspaces with an account.
        """
        return len(self._accounts)

    def granted_share(self, workspace: str, now: float) -> float:
        """
        Return the share of a workspace's limits that this router may use.

        :param now: steady time, in seconds.
        :returns: 0 to 1.
        """
        peer_count = self._snapshot.peers
        if now - self._last_report > GRANT_TTL_S:
            peer_count = replace(peer_count, reachable=False)
        settled: float = 0
        if now - self._published_at_s.get(workspace, inf) >= PROPAGATION_S:
            settled = self._snapshot.own.get(workspace, 0)
        asked = WorkspaceDemand(
            settled=settled,
            others=self._snapshot.others.get(workspace, 0),
            is_new=self._is_new(workspace, now),
            is_home=self._snapshot.is_home(workspace),
        )
        return granted_share(asked, peer_count)

    # Commands

    def update_peers(self, snapshot: DemandSnapshot, now: float) -> None:
        """
        Replace the known demands of the peers and this router's published
        ones.
        """
        self._snapshot = snapshot
        self._published_at_s = {
            name: self._published_at_s.get(name, now) for name in snapshot.own
        }

    def report(self, now: float) -> dict[str, float]:
        """
        Return the demands to report to the agent, by workspace.

        O(workspaces with requests in the last seconds).
        """
        asked: dict[str, float] = {}
        for name, account in tuple(self._active.items()):
            account.meter.roll(now)
            asked[name] = account.meter.mean
            if account.meter.is_idle:
                self._active.pop(name)
        reported = demands_to_report(asked, self._snapshot.peers.routers)
        self._reported = frozenset(reported)
        self._last_report = now
        return reported

    def admit(
        self, workspace: WorkspaceSettings, tokens: int, now: float
    ) -> OverLimit | None:
        """
        Count one request and its estimated tokens, unless they exceed a limit.

        :param tokens: estimated tokens of the request.
        :param now: steady time, in seconds.
        :returns: the refusal, or none if the request is admitted.
        """
        account = self._account(workspace, now)
        account.meter.add(_demand_share(workspace, account, tokens), now)
        self._active[workspace.name] = account
        granted = self.granted_share(workspace.name, now)
        over_limit = _check(workspace, account, granted, now)
        if over_limit is None:
            account.requests.left -= 1
            account.tokens.left -= tokens
            account.streams += 1
        return over_limit

    def release(self, workspace: str, unused_tokens: int) -> None:
        """
        End a stream and return its unused tokens.

        :param unused_tokens: a negative number counts more tokens.
        """
        account = self._accounts.get(workspace)
        if account is not None:
            account.streams -= 1
            account.tokens.left += unused_tokens

    def cancel(self, workspace: str, tokens: int) -> None:
        """
        Return all that an admitted request counted, as it did not start.

        :param tokens: estimated tokens of the request.
        """
        account = self._accounts.get(workspace)
        if account is not None:
            account.requests.left += 1
        self.release(workspace, tokens)

    def forget_idle(self, now: float) -> None:
        """
        Remove the accounts of workspaces without recent requests.
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
        Return whether a demand may not have reached the peers yet.

        A report may also wait for its turn in the agents' traffic budget.
        """
        account = self._accounts.get(workspace)
        if account is None:
            return True
        age_s = now - account.meter.busy_since_s
        if age_s <= NEW_DEMAND_S:
            return True
        is_unpublished = workspace in self._reported and (
            workspace not in self._published_at_s
        )
        turn_s = demand_interval_s(self._snapshot.peers.routers)
        return is_unpublished and age_s <= NEW_DEMAND_S + turn_s

    def _account(self, workspace: WorkspaceSettings, now: float) -> _Account:
        known = self._accounts.get(workspace.name)
        if known is None:
            share = self.granted_share(workspace.name, now)
            known = _Account(
                requests=Bucket(
                    bucket_capacity(workspace.request_rate * share), now
                ),
                tokens=Bucket(
                    bucket_capacity(workspace.token_rate * share), now
                ),
                meter=DemandMeter(now, busy_since_s=now),
            )
            self._accounts[workspace.name] = known
        return known


def _demand_share(
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
    workspace: WorkspaceSettings, account: _Account, share: float, now: float
) -> OverLimit | None:
    request_rate = workspace.request_rate * share
    token_rate = workspace.token_rate * share
    account.requests.refill(request_rate, now)
    account.tokens.refill(token_rate, now)
    if account.streams >= max(1, workspace.streams * share):
        return OverLimit('concurrent streams', STREAM_RETRY_AFTER_S)
    if account.requests.left < 1:
        wait_s = (1 - account.requests.left) / max(request_rate, 0.001)
        return OverLimit('requests a second', wait_s)
    wait_s = account.tokens.wait_s(token_rate)
    return OverLimit('tokens a second', wait_s) if wait_s else None
