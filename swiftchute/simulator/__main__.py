"""`python -m swiftchute.simulator`: reads batches from standard input, writes replies to standard output."""

import sys

from swiftchute.policy import Reconciler
from swiftchute.simulator.host import serve

if __name__ == "__main__":
    sys.exit(serve(sys.stdin.buffer, sys.stdout, sys.stderr, Reconciler))
