"""State of table versions: history, deliveries, pins, rejections and canaries."""

from dataclasses import dataclass

from swiftchute.versions.canary import CanaryTrials
from swiftchute.versions.canary_trial import CanaryLimits
from swiftchute.versions.delivery import DeliveryTracker
from swiftchute.versions.history import VersionHistory
from swiftchute.versions.pinning import PinnedVersions, RejectionTracker

NS_PER_S = 1_000_000_000


@dataclass(frozen=True)
class RetentionSettings:
    """How many versions are kept, when a rejected version is rolled back, and how canaries run."""

    max_versions: int = 1000
    max_age_ns: int = 3600 * NS_PER_S
    rejected_fraction: float = 0.3  # fraction of a table's proxies whose rejections roll a version back
    max_rollbacks: int = 3  # within the rollback window; 0: never
    rollback_window_ns: int = 600 * NS_PER_S
    rollback_duration_ns: int = 300 * NS_PER_S  # time that a table stays rolled back
    canary_fraction: float = 0.0  # of a table's proxies, which get a change first; 0: no canaries
    canary_duration_ns: int = 5 * NS_PER_S  # counted from their acknowledgement of the change
    max_canary_duration_ns: int = 30 * NS_PER_S
    min_canary_change: float = 0.25  # of requests moved by a change; smaller changes need no canary


@dataclass(frozen=True, slots=True)
class VersionState:
    """Versions of all tables of one instance, and which proxies hold them."""

    history: VersionHistory
    deliveries: DeliveryTracker
    pins: PinnedVersions
    rejections: RejectionTracker
    trials: CanaryTrials
    rollback_duration_ns: int

    @classmethod
    def empty(cls, instance: int, retention: RetentionSettings) -> "VersionState":
        """Return the state of an instance that has not published anything."""
        history = VersionHistory(str(instance), retention.max_versions, retention.max_age_ns)
        limits = CanaryLimits(
            retention.canary_fraction,
            retention.canary_duration_ns,
            retention.max_canary_duration_ns,
            retention.min_canary_change,
        )
        rejections = RejectionTracker(
            retention.rejected_fraction, retention.max_rollbacks, retention.rollback_window_ns
        )
        return cls(
            history,
            DeliveryTracker(history),
            PinnedVersions(),
            rejections,
            CanaryTrials(limits),
            retention.rollback_duration_ns,
        )
