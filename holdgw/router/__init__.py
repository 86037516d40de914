"""The real router: it turns sockets into events of the policy, and the policy's actions into sockets."""
