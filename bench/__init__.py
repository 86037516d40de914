"""Measurements that take long or load the machine; none of them runs in CI."""
