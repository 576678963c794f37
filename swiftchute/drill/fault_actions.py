"""All fault actions that a scenario's time line may name."""

from swiftchute.drill.backend_faults import BackendFaults
from swiftchute.drill.network_faults import NetworkFaults
from swiftchute.drill.operator_actions import OperatorActions


class FaultActions(BackendFaults, NetworkFaults, OperatorActions):
    """The methods that `Fault.action` names; `faults.KINDS` holds those that scripts may use."""
