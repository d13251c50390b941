"""Entry hosts under load on a virtual clock, for experiments in seconds.

The hosts are the product's own reducers: nothing of what they decide is
written twice. Engines, plain services, the network and callers are models.
"""
