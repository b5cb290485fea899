"""The command line: `whinpier`. Imported by the tool only, never by a balancer."""
