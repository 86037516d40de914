"""The emulation harness: real routers among emulated endpoints, origin, discovery and clients on loopback.

Modules without input or output: `scenario` (the scenario file), `schedule` (everything drawn ahead from one
seed), `checker` (the four rules), `scoring` (the service score), `report` and `html_report`. Modules with
sockets and processes: `clients`, `routers`, `worker`, `channel` and `orchestrator`.
"""
