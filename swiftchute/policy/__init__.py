"""The decisions: which endpoints, with which weights, for which proxies, at which admission rate.

`Reconciler` is one instance of the policy for one incarnation of a controller. It does no I/O: the caller
hands it the events of a round and takes its commands.
"""

from swiftchute.policy.reconciler import Reconciler

__all__ = ["Reconciler"]
