"""Deterministic simulation: the program runs unchanged on a seeded event loop with a simulated network.

`world` holds the clock and the queue of all calls, and `loop` is asyncio's interface to it. `process` is a
program with its clocks, signals and descriptors, `network` and `transports` are TCP and UDP between hosts,
and `disk` is the storage that outlives a process. On top of them, `fleet_run` runs a scenario of the harness,
`invariants` checks the routers during the run, `search` runs many seeds, and `shrink` reduces a failing
scenario to the smallest one that still fails.

Times are integer nanoseconds of simulated time unless stated otherwise. No module here reads a real clock,
the environment, or a source of randomness other than the seed.
"""
