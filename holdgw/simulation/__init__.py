"""Simulated time: the code that runs on real sockets, unchanged, on a seeded loop with a simulated network.

`world` orders everything that happens, `loop` is asyncio's interface to it, `process` is a program with its
clocks, signals and descriptors, `network` and `transports` are TCP and UDP between hosts, `disk` is what
outlives a process. On top of them `play` plays a rehearsal's scenario, `invariants` looks at the routers as
it runs, `search` goes through seeds and `shrink` looks for the least scenario that still fails.

Times are integer nanoseconds of the world's own clock unless said otherwise. Nothing here reads a real clock,
the environment, or a source of chance but the seed.
"""
