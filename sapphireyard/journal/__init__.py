"""Records of programs, durable on hosts and in the store."""
