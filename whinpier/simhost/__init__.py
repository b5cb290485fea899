"""Hosts instances of the decisions on the simulator's wire. No decisions here."""
