"""RADIUS accounting: the codec, duplicates and identifiers, free of I/O. RFC 2865, 2866, 2869,
5080, 5997.
"""
