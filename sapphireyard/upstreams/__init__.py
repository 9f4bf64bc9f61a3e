"""Model engines and plain services: calls, faults and orders."""
