"""The router process: turns socket I/O into events of the routing policy, and its actions into socket I/O."""
