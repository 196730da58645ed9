"""
Workspaces' limits, shared between routers.
"""
