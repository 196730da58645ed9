"""
Adaptive concurrency, retry budgets, ejection, slow start and Retry-After.
"""
