"""
The router's admission and route policies.
"""
