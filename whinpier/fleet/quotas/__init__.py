"""Limits that hold over the whole fleet: leased quotas, calendar quotas, fair shares."""
