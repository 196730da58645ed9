"""
Fair queueing over a tree of root, branches and workspaces.
"""
