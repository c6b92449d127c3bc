"""Hold organisations to caps that count over all hosts.

An issuer lends shares of a cap to one pool in each region for a few seconds at
a time; a pool lets requests through by a token bucket that its share fills.
Shares that are lent never add up to more than the whole, whoever can't be
reached, so that a cut or a crash costs the lender and not the cap.
"""
