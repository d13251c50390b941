"""A discrete-event simulation of entry hosts under load.

It runs on a virtual clock, so an experiment takes seconds. The hosts run
the product's own reducers, so that no decision logic is duplicated.
Engines, plain services, the network and callers are models.
"""
