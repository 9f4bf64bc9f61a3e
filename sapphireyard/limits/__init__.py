"""Customers' rates and bursts over all hosts."""
