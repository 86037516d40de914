"""holdgw: a cache router built for large fleets and for failure. docs/ARCHITECTURE.md shows its rooms."""
