"""
Streams: each layer once for each token, over stages that fail.
"""
