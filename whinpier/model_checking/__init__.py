"""Exploration of orderings: the real state machines, driven through every order of events of small
worlds.
"""
