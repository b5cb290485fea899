"""Outlier ejection that a quorum of observers agrees on."""
