"""
A decorator for actors that keeps them alive after an exception.
"""

from collections.abc import Callable
from functools import wraps
from typing import Any

from mallowcrank.logs import PartLog

Method = Callable[..., Any]


def keep_running(log: PartLog) -> Callable[[Method], Method]:
    """
    Log exceptions of an actor's method whose result nobody awaits.

    pykka stops an actor permanently when such a call raises, while the rest
    of the program keeps running without it. The decorated method logs the
    exception and returns `None`, and the actor handles its next message.

    :param log: the log of the actor's part.
    :returns: the decorator.
    """

    def decorate(method: Method) -> Method:
        @wraps(method)
        def wrapper(*args: Any) -> Any:
            try:
                return method(*args)
            except Exception as error:
                log.say(
                    'Message failed',
                    method=method.__qualname__,
                    error=repr(error),
                )
                return None

        return wrapper

    return decorate
