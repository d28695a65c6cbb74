"""Stand-ins for the table service, the object stores and upstreams."""
