"""
Request parsing, retry decisions, idempotency keys and error responses.
"""
