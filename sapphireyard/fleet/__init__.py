"""Discovery of the hosts of a deployment, and the limits that they share."""
