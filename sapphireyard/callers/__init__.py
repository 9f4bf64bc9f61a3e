"""The interfaces of callers and operators on entry hosts."""
