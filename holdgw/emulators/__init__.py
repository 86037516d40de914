"""Emulators of what surrounds a router: cache servers, origin, discovery, and links between routers.

All of them listen on loopback.

The behaviour of each emulator is a pure model with an injected clock (`node_model`, `origin_model`,
`discovery_model`, `relay_model`, `processor_sharing`, `lru_cache`, `faults`, `seeded_draws`). The modules
with sockets (`node`, `origin`, `discovery`, `relay`, `fault_proxy`, `listeners`) add little behaviour of
their own. Times are seconds on the injected clock, as floats unless stated otherwise.
"""
