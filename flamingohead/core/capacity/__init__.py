"""What upstreams take well: service times, concurrency limits and transfers."""
