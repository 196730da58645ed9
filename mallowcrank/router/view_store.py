"""
What the router knows of the others: the view, its age, who was live when.
"""

import threading
from collections.abc import Mapping

from mallowcrank.changes import ViewChanges, compare_views
from mallowcrank.clock import Clock
from mallowcrank.requests.keepers import (
    Membership,
    RouterId,
    Whereabouts,
    note_membership,
)
from mallowcrank.view import Peer, View


class ViewStore:
    """
    The newest view from the agent. Safe to use from any thread.
    """

    def __init__(self, me: RouterId, clock: Clock) -> None:
        self._me = me
        self._clock = clock
        self._lock = threading.Lock()
        self._view = View()
        self._peers: dict[str, Peer] = {}
        self._heard = float('-inf')
        # Who was live before this router started is not known.
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
        Return the seconds since the agent was heard.
        """
        return self._clock.steady() - self._heard

    def keeper_lookup_context(self, *, forwarded: bool) -> Whereabouts:
        """
        Return what is needed to find a key's keeper.
        """
        now = self._clock.steady()
        with self._lock:
            return Whereabouts(
                me=self._me,
                peers=self._peers,
                history=self._history,
                forwarded=forwarded,
                view_age_s=now - self._heard,
                now=now,
            )

    def apply(self, view: View, changes: ViewChanges | None = None) -> None:
        """
        Take over a new view.

        :param changes: what differs from the view before, where it is known.
        """
        if changes is None:
            changes = compare_views(self._view, view)
        now = self._clock.steady()
        with self._lock:
            self._view = view
            self._heard = now
            if changes.peers or not self._history[-1].routers:
                self._follow(changes.peers, now)

    def record_contact(self) -> None:
        """
        The agent was heard, with nothing new.
        """
        self._heard = self._clock.steady()

    def _follow(self, names: frozenset[str], now: float) -> None:
        lives_before = _lives(self._peers, names)
        self._peers = dict(self._view.peers)
        self._peers.pop(self._me.name, None)
        lives = _lives(self._peers, names)
        # Loads change each second, lives seldom.
        if lives != lives_before or not self._history[-1].routers:
            known = self._history[-1].routers
            routers = (known - lives_before) | lives | {self._me}
            self._history = note_membership(self._history, routers, now)


def _lives(
    peers: Mapping[str, Peer], names: frozenset[str]
) -> frozenset[RouterId]:
    return frozenset(
        RouterId(name, peers[name].incarnation) for name in names & peers.keys()
    )
