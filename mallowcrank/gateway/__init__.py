"""
The gateway: an event loop that forwards callers' requests to targets, streams
over chains of engines.
"""
