"""
Exit statuses of all programs.
"""

from enum import IntEnum, unique


@unique
class ExitStatus(IntEnum):
    """
    What a program's exit status means.
    """

    SUCCESS = 0
    ERROR = 1
    BAD_SETTINGS = 2
    REFUSED = 3
    TIMEOUT = 4
    CONFLICT = 5
    HARD_STOP = 6
