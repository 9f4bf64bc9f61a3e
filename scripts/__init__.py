"""Developer commands: code generation, tests and the demo."""
