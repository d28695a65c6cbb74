"""Stand-ins for the table, the object store and upstreams."""
