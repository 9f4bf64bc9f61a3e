"""The operators' tables and keys, and the version in force."""
