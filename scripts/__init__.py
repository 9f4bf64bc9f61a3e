"""Developer commands: code generation, tests, demo and soak."""
