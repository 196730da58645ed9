"""
Home routers of workspaces.

In each availability zone, the callers of a workspace are sent to the same
router, so that few routers have to share the workspace's limits.
"""

from collections.abc import Iterable

from xxhash import xxh64_intdigest


def home_router(workspace: str, routers: Iterable[str]) -> str | None:
    """
    Return the home router of a workspace by rendezvous hashing.

    :param routers: names of the live routers of one availability zone.
    :returns: none if there are no routers.
    """
    return max(
        routers,
        key=lambda name: (
            xxh64_intdigest(f'{workspace}\0{name}'.encode()),
            name,
        ),
        default=None,
    )
