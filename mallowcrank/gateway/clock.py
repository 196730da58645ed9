"""
Steady time that goes on while the host is suspended.
"""

import time


def monotonic_s() -> float:
    """
    Return seconds on a clock that neither jumps nor stands still.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
