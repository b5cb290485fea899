"""whinpier: a load balancer that splits tasks by the min-max policy."""
