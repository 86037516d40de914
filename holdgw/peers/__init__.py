"""What the routers of one tier know of one another; off where the settings allow no peers."""
