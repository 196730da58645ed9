"""
The gateway: one event loop that serves callers over chains of engines.
"""
