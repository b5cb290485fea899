"""Which pool and workload a request is for: names in one form, and a table of routes. No I/O, no protocol."""
