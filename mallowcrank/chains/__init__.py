"""
Decisions about chains of engines, without I/O: placing, paths, memory, retries.
"""
