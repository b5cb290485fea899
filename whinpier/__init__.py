"""whinpier: a load balancer that splits requests by the min-max policy."""
