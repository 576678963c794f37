"""The policy: decides endpoints, weights and admission rates for each proxy.

`Reconciler` is one instance of the policy for one incarnation of a controller. It does no I/O: the caller
passes in the events of a round and carries out the commands.
"""

from swiftchute.policy.reconciler import Reconciler

__all__ = ["Reconciler"]
