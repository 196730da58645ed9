"""
What the router knows of the others: the view, its age, who was live when.
"""

import threading

from mallowcrank.clock import Clock
from mallowcrank.requests.keepers import (
    Membership,
    RouterId,
    Whereabouts,
    note_membership,
)
from mallowcrank.view import View


class KnownView:
    """
    The newest view from the agent. Safe to use from any thread.
    """

    def __init__(self, me: RouterId, clock: Clock) -> None:
        self._me = me
        self._clock = clock
        self._lock = threading.Lock()
        self._view = View()
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

    def whereabouts(self, *, forwarded: bool) -> Whereabouts:
        """
        Return what is needed to find a key's keeper.
        """
        now = self._clock.steady()
        with self._lock:
            peers = {
                name: peer
                for name, peer in self._view.peers.items()
                if name != self._me.name
            }
            return Whereabouts(
                me=self._me,
                peers=peers,
                history=self._history,
                forwarded=forwarded,
                view_age_s=now - self._heard,
                now=now,
            )

    def apply(self, view: View) -> None:
        """
        Take over a new view.
        """
        routers = frozenset(
            RouterId(peer.name, peer.incarnation)
            for peer in view.peers.values()
            if peer.name != self._me.name
        )
        now = self._clock.steady()
        with self._lock:
            self._view = view
            self._heard = now
            self._history = note_membership(
                self._history, routers | {self._me}, now
            )

    def hear(self) -> None:
        """
        The agent was heard, with nothing new.
        """
        self._heard = self._clock.steady()
