"""
The load tool: runs callers and a timeline of faults against running processes,
and checks the promises made to callers.
"""
