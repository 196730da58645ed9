"""
A monotonic clock that keeps running while the host is suspended.
"""

import time


def monotonic_s() -> float:
    """
    Return the monotonic time in seconds, including time spent suspended.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
