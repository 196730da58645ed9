"""
Structured logs by eliot: short sentences with a fixed prefix for each part.
"""

import json
from typing import TextIO

from eliot import FileDestination, add_destinations, log_message


def start_logs(stream: TextIO, host: str, program: str) -> None:
    """
    Send all log messages to a stream, one JSON object a line.
    """
    destination = FileDestination(file=stream)

    def deliver(message: dict[str, object]) -> None:
        destination({'host': host, 'program': program, **message})

    add_destinations(deliver)


class PartLog:
    """
    The log of one part, such as `router` or `config`.
    """

    def __init__(self, part: str) -> None:
        self._part = part

    def say(self, sentence: str, **fields: object) -> None:
        """
        Log a short sentence with its fields.
        """
        log_message(
            message_type=f'{self._part}: {sentence}',
            **{name: _plain(given) for name, given in fields.items()},
        )


def _plain(given: object) -> object:
    try:
        json.dumps(given)
    except (TypeError, ValueError):
        return str(given)
    return given
