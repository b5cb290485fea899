"""Processes of whinpier that know each other. Off unless an operator's file has a table `fleet`."""
