"""The switch of a group from one expert map to the next."""
