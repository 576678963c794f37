"""All fault actions that a scenario may use."""

from swiftchute.drill.backend_faults import BackendFaults
from swiftchute.drill.network_faults import NetworkFaults
from swiftchute.drill.operator_actions import OperatorActions


class FaultActions(BackendFaults, NetworkFaults, OperatorActions):
    """Methods that `Fault.action` may name; `faults.KINDS` lists those that HCL scripts may use."""
