"""Tests of the routing policy, without sockets: events in, actions out."""
