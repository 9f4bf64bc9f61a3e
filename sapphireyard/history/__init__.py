"""Turns, their chains and the tokens spent, on hosts with disks."""
