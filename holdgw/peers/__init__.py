"""Membership and load reports between the routers of one tier; disabled where the settings allow no peers."""
