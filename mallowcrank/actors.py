"""
What all actors share.
"""

from collections.abc import Callable
from functools import wraps
from typing import Any

from mallowcrank.logs import PartLog

Method = Callable[..., Any]


def keep_running(log: PartLog) -> Callable[[Method], Method]:
    """
    Decorate an actor's method that is called with no one to wait for it.

    pykka stops an actor for good when such a call raises an exception, and the
    rest of the program goes on without it. Here the exception is logged, and
    the actor takes its next message.

    :param log: the log of the actor's part.
    """

    def decorate(method: Method) -> Method:
        @wraps(method)
        def wrapper(*words: Any) -> Any:
            try:
                return method(*words)
            except Exception as error:
                log.say(
                    'Message failed',
                    method=method.__qualname__,
                    error=repr(error),
                )
                return None

        return wrapper

    return decorate
