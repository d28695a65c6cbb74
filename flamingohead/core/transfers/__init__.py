"""Transfer of large request bodies between hosts."""
