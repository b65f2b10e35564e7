"""Small stand-ins for the systems outside."""
