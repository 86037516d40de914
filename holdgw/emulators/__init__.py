"""Stand-ins for what surrounds a router: mirror nodes, the package store and discovery, on loopback.

What a stand-in decides is a pure model with an injected clock (`work`, `keeping`, `node_model`,
`store_model`, `registry_model`, `chance`, `faults`); the sockets round it (`node`, `store`, `discovery`) are
thin. Times are seconds on the clock that the caller injects, floats unless said otherwise.
"""
