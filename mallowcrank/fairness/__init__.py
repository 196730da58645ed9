"""
Fair queues along the tree of root, branches and workspaces.
"""
