"""
Puts a router's policies together.
"""

from dataclasses import dataclass

from mallowcrank.context import Environment
from mallowcrank.policy.admission import Admission
from mallowcrank.policy.hint_follower import HintFollower
from mallowcrank.policy.routes import Routes
from mallowcrank.policy.settings import PolicySettings
from mallowcrank.settings import RouterSettings
from mallowcrank.view import View


@dataclass(frozen=True)
class Policies:
    """
    The policies of one router.
    """

    admission: Admission
    routes: Routes

    def apply_view(self, view: View) -> None:
        """
        Take over new settings and targets.
        """
        self.routes.apply_view(view)
        self.admission.apply_view(view)


def build_policies(
    settings: RouterSettings, environment: Environment
) -> Policies:
    """
    Build the policies, which share what they know of the targets.
    """
    built = PolicySettings(
        router=settings,
        steady=environment.clock.steady,
        random=environment.random,
    )
    routes = Routes(built)
    return Policies(Admission(built, routes.slowdown), routes)


def follow_hints(policies: Policies) -> HintFollower:
    """
    Start to follow the cache events of the engines in use.

    :returns: the follower, to be stopped at the end.
    """
    follower = HintFollower(policies.routes)
    follower.start()
    return follower
