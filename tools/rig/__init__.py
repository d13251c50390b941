"""Entry hosts as real processes under a whole mix of work and troubles."""
