"""The platform's object store, and what is agreed through it."""
