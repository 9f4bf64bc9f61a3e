"""Configuration tables and keys, and their distribution to hosts."""
