"""HTTP interfaces of entry hosts for callers and operators."""
