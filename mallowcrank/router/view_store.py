"""
The router's current view, its age and the history of live routers.
"""

import threading
from collections.abc import Mapping

from mallowcrank.changes import ViewChanges, compare_views
from mallowcrank.clock import Clock
from mallowcrank.requests.key_ownership import (
    LookupContext,
    Membership,
    RouterId,
    record_membership,
)
from mallowcrank.view import Peer, View


class ViewStore:
    """
    Holds the newest view from the agent. Thread-safe.
    """

    def __init__(self, me: RouterId, clock: Clock) -> None:
        self._me = me
        self._clock = clock
        self._lock = threading.Lock()
        self._view = View()
        self._peers: dict[str, Peer] = {}
        self._last_contact = float('-inf')
        # Which routers were live before this one started is not known.
        self._history = (Membership(frozenset()),)

    @property
    def view(self) -> View:
        """
        Return the newest view.
        """
        return self._view

    @property
    def age_s(self) -> float:
        """
        Return the seconds since the agent's last message.
        """
        return self._clock.steady() - self._last_contact

    def keeper_lookup_context(self, *, forwarded: bool) -> LookupContext:
        """
        Return the input of the lookup of a key's keeper.

        :param forwarded: whether another router passed the request on.
        """
        now = self._clock.steady()
        with self._lock:
            return LookupContext(
                me=self._me,
                peers=self._peers,
                history=self._history,
                forwarded=forwarded,
                view_age_s=now - self._last_contact,
                now=now,
            )

    def apply(self, view: View, changes: ViewChanges | None = None) -> None:
        """
        Replace the view.

        :param changes: the difference from the previous view, if known.
        """
        if changes is None:
            changes = compare_views(self._view, view)
        now = self._clock.steady()
        with self._lock:
            self._view = view
            self._last_contact = now
            if changes.peers or not self._history[-1].routers:
                self._update_peers(changes.peers, now)

    def record_contact(self) -> None:
        """
        Record that the agent sent a message without changes.
        """
        self._last_contact = self._clock.steady()

    def _update_peers(self, names: frozenset[str], now: float) -> None:
        ids_before = _router_ids(self._peers, names)
        self._peers = dict(self._view.peers)
        self._peers.pop(self._me.name, None)
        ids = _router_ids(self._peers, names)
        # Loads change each second, incarnations rarely.
        if ids != ids_before or not self._history[-1].routers:
            live = self._history[-1].routers
            routers = (live - ids_before) | ids | {self._me}
            self._history = record_membership(self._history, routers, now)


def _router_ids(
    peers: Mapping[str, Peer], names: frozenset[str]
) -> frozenset[RouterId]:
    return frozenset(
        RouterId(name, peers[name].incarnation) for name in names & peers.keys()
    )
