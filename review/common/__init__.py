"""Stand-ins for the cases of the review: store, engines, clients, hosts.

Standard library only. All addresses are loopback addresses.
"""
