"""Fleet-wide rate limits of customers."""
