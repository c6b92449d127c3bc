"""Enforce rate caps of organisations across all hosts.

An issuer leases shares of a cap, for a second or two at a time, to one pool in
each region. A pool admits requests through a token bucket that its share
refills. Outstanding shares never add up to more than the whole cap, also when
hosts are unreachable: a partition or a crash reduces what is leased and never
lets an organisation exceed its cap.
"""
