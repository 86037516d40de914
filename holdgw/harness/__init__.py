"""Rehearsals: real routers amid a whole fleet of stand-ins on loopback, and the judgement of what they did.

Pure: `scenario` (the file), `day` (everything drawn ahead from one seed), `checker` (the four rules),
`counting` (service), `report`, `page`. Sockets and processes: `clients`, `routers`, `worker`, `channel`,
`stage`.
"""
