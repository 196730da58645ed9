"""
Adaptive concurrency, retry budgets, ejection and slow start.
"""
