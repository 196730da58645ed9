"""
An emulator of model engines, routers and callers, in virtual time.
"""
