"""A router on several cores: a supervisor accepts clients and follows discovery, worker processes serve."""
