"""Messages between daemons and their encoding."""
