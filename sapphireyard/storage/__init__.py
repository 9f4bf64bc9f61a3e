"""The platform's object store, and leases held through it."""
