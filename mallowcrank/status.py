"""
Exit statuses of all programs.
"""

from enum import IntEnum, unique


@unique
class ExitStatus(IntEnum):
    """
    The meaning of a program's exit status.
    """

    SUCCESS = 0
    ERROR = 1
    BAD_SETTINGS = 2
    REFUSED = 3
    TIMEOUT = 4
    CONFLICT = 5
    HARD_STOP = 6
