"""Run an entry host at which requests may wait for capacity."""

import sys

from jacinthfold.__main__ import main
from jacinthfold.gateway.node import GatewayNode

WAITING_REQUESTS = 20

if __name__ == '__main__':
    GatewayNode.waiting_requests = WAITING_REQUESTS
    sys.exit(main())
