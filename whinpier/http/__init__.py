"""The balancer on sockets. No decisions here."""
