"""
The platform's vocabulary, applied to bodies of tests.
"""

import json

from mallowcrank.platform.desired_state import read_desired


def desired_of(body):
    """
    Return the desired state that a body says.
    """
    return read_desired(json.dumps(body).encode())
