"""
The router: callers' requests in, answers out.
"""
