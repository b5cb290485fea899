"""HTTP/1.1 to clients and upstreams, and the discovery client; makes no policy decisions."""
