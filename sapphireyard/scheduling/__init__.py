"""Scheduling: which waiting request gets the next slot of which upstream."""
