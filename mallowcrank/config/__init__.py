"""
The settings tree: its log records, how they are folded into a tree, and the
effective settings that are computed from it.
"""
