"""Outlier ejection, decided by a quorum of the members that observe an upstream."""
