"""
Structured logs on eliot: short sentences with each part's fixed prefix.
"""

import json
from typing import TextIO

from eliot import FileDestination, add_destinations, log_message


def start_logs(stream: TextIO, host: str, program: str) -> None:
    """
    Write all log messages to a stream, one JSON object per line.

    :param host: the name of the host, added to each message.
    :param program: the name of the program, added to each message.
    """
    destination = FileDestination(file=stream)

    def write_message(message: dict[str, object]) -> None:
        destination({'host': host, 'program': program, **message})

    add_destinations(write_message)


class PartLog:
    """
    The log of one part of a program.

    :param part: the prefix of its messages, such as `router` or `config`.
    """

    def __init__(self, part: str) -> None:
        self._part = part

    def say(self, sentence: str, **fields: object) -> None:
        """
        Log a short sentence with its fields.

        Values that JSON does not support are logged as text.
        """
        log_message(
            message_type=f'{self._part}: {sentence}',
            **{name: _plain(value) for name, value in fields.items()},
        )


def _plain(value: object) -> object:
    try:
        json.dumps(value)
    except (TypeError, ValueError):
        return str(value)
    return value
