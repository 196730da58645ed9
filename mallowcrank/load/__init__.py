"""
The load tool: callers, faults by time line, and a judge of the promises.
"""
