"""
Assembles the policies of a router.
"""

from mallowcrank.context import Environment
from mallowcrank.policy.admission import Admission
from mallowcrank.policy.hint_follower import HintFollower
from mallowcrank.policy.routes import RoutePolicy
from mallowcrank.policy.settings import PolicySettings
from mallowcrank.router.assembly import Policies
from mallowcrank.settings import RouterSettings


def build_policies(
    settings: RouterSettings, environment: Environment
) -> Policies:
    """
    Build the policies; admission reads the targets' slowdown from routing.
    """
    built = PolicySettings(
        router=settings,
        steady=environment.clock.steady,
        random=environment.random,
    )
    routes = RoutePolicy(built)
    return Policies(
        Admission(built, routes.slowdown), routes, HintFollower(routes)
    )
