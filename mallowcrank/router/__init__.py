"""
The router: accepts callers' requests and returns the answers.
"""
