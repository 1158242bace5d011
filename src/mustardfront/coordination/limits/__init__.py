"""Limits, queues, shedding and retry budgets."""
