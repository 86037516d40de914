"""What on-call staff need of a router in service: its door, its figures, servers out by hand, upgrades."""
