"""Programs and their calls, on the host that owns them."""
