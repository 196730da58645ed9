"""
Token streams: each token runs through each layer exactly once, in order, also
while stages fail.
"""
