"""
Home routers: in each availability zone, callers of a workspace are sent to
the same router, so that the workspace's limits concern few routers.
"""

from collections.abc import Iterable

from xxhash import xxh64_intdigest


def home_router(workspace: str, routers: Iterable[str]) -> str | None:
    """
    Return the router that a rendezvous hash chooses for a workspace.

    :param routers: the live ones of one availability zone.
    """
    return max(
        routers,
        key=lambda name: (
            xxh64_intdigest(f'{workspace}\0{name}'.encode()),
            name,
        ),
        default=None,
    )
