"""holdgw: a cache router for large fleets and for failure. docs/ARCHITECTURE.md describes its packages."""
