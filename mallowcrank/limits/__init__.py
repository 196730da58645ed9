"""
Limits of workspaces, which the routers share.
"""
