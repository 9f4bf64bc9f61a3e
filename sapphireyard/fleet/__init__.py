"""How the hosts of one deployment learn of each other and share limits."""
