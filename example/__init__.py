"""A configuration and a toy server to try the balancer with."""
