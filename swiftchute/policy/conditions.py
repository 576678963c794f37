"""Conditions: system states whose start and end are logged for the operators."""

from swiftchute.policy.state import PolicyState


def report_condition(state: PolicyState, name: str, active: bool, cause: str) -> None:
    """Log a condition if it started or ended since it was last reported.

    Args:
        state: State of the policy; its `conditions` hold the names of active conditions.
        name: Name of the condition, with the endpoint, zones or table that it concerns.
        active: Whether the condition holds now.
        cause: Figures that explain it.
    """
    if active == (name in state.conditions):
        return
    if active:
        state.conditions.add(name)
    else:
        state.conditions.remove(name)
    state.commands.log(f"{name}: {'on' if active else 'off'}, {cause}")


def health_condition(endpoint: str) -> str:
    """Return the name of the condition for an endpoint whose health weight is low."""
    return f"cut {endpoint}"
