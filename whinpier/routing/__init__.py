"""Which pool and request class a request is for: names in one form, and a table of routes. No I/O,
no protocol.
"""
