"""
Decoding of the bodies that tests build, as on the platform.
"""

import json

from mallowcrank.platform.desired_state import read_desired


def desired_of(body):
    """
    Return the desired state that a body describes.
    """
    return read_desired(json.dumps(body).encode())
