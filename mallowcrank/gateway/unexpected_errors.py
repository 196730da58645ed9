"""
Errors that no code handles: each is logged with its place, and counted.
"""

import asyncio
import traceback
from collections.abc import Callable
from pathlib import PurePath
from typing import Any

from mallowcrank.gateway.journal import Journal
from mallowcrank.gateway.meters import Meters

MAX_REASON = 300  # characters of an error in the log


class UnexpectedErrors:
    """
    Records the errors of requests, of readers and of background tasks.
    """

    def __init__(self, journal: Journal, meters: Meters) -> None:
        self._journal = journal
        self._meters = meters

    def record(
        self, place: str, error: BaseException, **details: object
    ) -> None:
        """
        Log and count an error.

        :param place: the part of the gateway, for the metric.
        :param details: further fields of the log line.
        """
        self._meters.unexpected_errors.labels(place).inc()
        self._journal.say(
            'gateway: unexpected error',
            place=place,
            why=repr(error)[:MAX_REASON],
            at_line=_line_of(error),
            **details,
        )

    def guard(
        self, place: str, handle: Callable[..., None]
    ) -> Callable[..., None]:
        """
        Return a function that records the errors of another one.
        """

        def guarded(*args: Any) -> None:
            try:
                handle(*args)
            except Exception as error:
                self.record(place, error)

        return guarded

    def watch(self, task: 'asyncio.Task[Any]', place: str) -> None:
        """
        Record the error with which a background task ends, if it does.
        """
        task.add_done_callback(lambda done: self._record_end(done, place))

    def handle_loop_error(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        """
        Record an error that the event loop has caught in a callback.
        """
        message = str(context.get('message', ''))
        error = context.get('exception') or RuntimeError(message)
        self.record('event loop', error, message=message[:MAX_REASON])

    def _record_end(self, task: 'asyncio.Task[Any]', place: str) -> None:
        error = None if task.cancelled() else task.exception()
        if error:
            self.record(place, error)


def _line_of(error: BaseException) -> str:
    """
    Return where an error was raised; empty if that isn't known.
    """
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    frames = traceback.extract_tb(error.__traceback__)
    if not frames:
        return ''
    frame = frames[-1]
    return f'{PurePath(frame.filename).name}:{frame.lineno} {frame.name}'
