"""
Placement, paths, memory and retries for chains of engines, without I/O.
"""
