"""Which host owns which programs, and how that changes."""
