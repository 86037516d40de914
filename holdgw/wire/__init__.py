"""Framing that routers, stand-ins and load generators share. No decisions, no sockets, no clock."""
