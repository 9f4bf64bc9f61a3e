"""Stand-ins for the systems outside sapphireyard, for tests, bench and demo."""
