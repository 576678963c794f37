"""Chooses what a client should hold of a resource type: the wanted resources, or substitutes for them."""

from collections.abc import Collection, Iterable, Mapping

from swiftchute.xds import names
from swiftchute.xds.resources import Resource, Wanted, cluster, load_assignment
from swiftchute.xds.subscription import Subscription


class ResourceSelector:
    """Chooses the resources of one stream; its flags tell what the latest choices withheld."""

    def __init__(self, subscriptions: Mapping[str, Subscription], delta: bool, collections: bool) -> None:
        """Create a selector for the subscriptions of a stream.

        Args:
            subscriptions: By type URL.
            delta: Whether the stream uses incremental xDS.
            collections: Whether the client takes entries as resources of their own (LEDS).
        """
        self.unavailable: Collection[str] = frozenset()  # draining or removed endpoints
        self.withheld = False  # something wanted is not sent because it was rejected
        self.retry_at_ns: int | None = None  # when a rejected resource may be sent again
        self._subscriptions = subscriptions
        self._delta = delta
        self._collections = collections

    def reset(self) -> None:
        """Clear the flags before the choices of the next step."""
        self.withheld = False
        self.retry_at_ns = None

    def wanted_names(self, subscription: Subscription, wanted: Wanted) -> Iterable[str]:
        """Return the names of the wanted resources that the client asked for."""
        of_type = wanted[subscription.type_url]
        if subscription.wildcard:
            return of_type.keys()
        if subscription.type_url == names.LEDS:
            return [entry for name in subscription.names for entry in wanted.entries(name)]
        return subscription.names & of_type.keys()

    def choose(
        self, subscription: Subscription, wanted: Wanted, keep_held: bool, now_ns: int
    ) -> dict[str, Resource]:
        """Return the resources of a type that the client should hold, by name.

        Args:
            subscription: State of the type.
            wanted: Everything that the client should hold.
            keep_held: Whether what the client holds must stay until it acknowledges its new routes.
            now_ns: Time of the choice.
        """
        of_type = wanted[subscription.type_url]
        chosen = {name: of_type[name] for name in self.wanted_names(subscription, wanted)}
        if subscription.type_url in (names.CDS, names.EDS) and of_type:
            for name in subscription.names - chosen.keys():
                alias = self._alias(subscription, name, wanted)
                if alias is not None:
                    chosen[name] = alias
        for name in chosen.keys() & subscription.rejections.keys():
            substitute = self._substitute(subscription, name, chosen.pop(name), now_ns)
            if substitute is not None:
                chosen[name] = substitute
        if keep_held:
            for name, resource in self._kept(subscription).items():
                chosen.setdefault(name, resource)
        return chosen

    def without_unavailable(self, subscription: Subscription, name: str) -> Resource | None:
        """Return the table that the client holds without its unavailable endpoints.

        The client accepted everything in it before, so it is the least likely to be rejected, and a drain
        must not wait because another version was rejected. None if there is nothing to remove, nothing would
        be left, or this version was rejected too.
        """
        held = subscription.held.get(name)
        if held is None or not held.entries:
            return None
        entries = tuple(entry for entry in held.entries if entry[0] not in self.unavailable)
        if not entries or len(entries) == len(held.entries):
            return None
        reduced = load_assignment(name, entries, held.admission_rate)
        rejected = reduced.version in subscription.rejections[name].versions
        return None if rejected else reduced

    def _kept(self, subscription: Subscription) -> dict[str, Resource]:
        """Return what is held, without entries of unavailable endpoints unless a table has no others.

        A client that rejects its new tables uses its old ones, perhaps those of another instance. A drain
        must take effect there too, and the removal of an entry contains nothing that could be rejected.
        """
        if subscription.type_url != names.LEDS or not self.unavailable:
            return subscription.held
        kept: dict[str, Resource] = {}
        by_table: dict[str, dict[str, Resource]] = {}
        for name, resource in subscription.held.items():
            parts = names.parse_entry_name(name)
            if parts is None or parts[2] not in self.unavailable:
                kept[name] = resource
            by_table.setdefault(parts[0] if parts else "", {})[name] = resource
        for held in by_table.values():
            if not held.keys() & kept.keys():
                kept |= held
                self.withheld = True
        return kept

    def _alias(self, subscription: Subscription, name: str, wanted: Wanted) -> Resource | None:
        """Return the client's current table under an old table name that it still asks for, or None.

        A client that was moved to another table, or comes from another instance, drops the old name once it
        holds its new routes. Until then its old routes need endpoints, and drains must take effect on them.
        """
        table = name.partition("/")[0].partition("~")[0]
        if subscription.type_url == names.CDS:
            served = names.operation_of(name) in wanted[names.RDS] and names.is_table(table)
            # a delta client keeps a cluster until it is removed
            return cluster(name, table) if served and not self._delta else None
        if subscription.type_url != names.EDS or self._collections or not names.is_table(name):
            return None
        return self._aliased_assignment(name, table, wanted)

    def _aliased_assignment(self, name: str, table: str, wanted: Wanted) -> Resource | None:
        routes = wanted[names.RDS]
        clusters = self._subscriptions[names.CDS]
        operations = [
            names.operation_of(cluster_name)
            for cluster_name in sorted(clusters.names | clusters.held.keys())
            if cluster_name.startswith(table + "/")
        ]
        for route in [routes[op] for op in operations if op in routes] or routes.values():
            for _, cluster_name in route.refs:
                current_cluster = wanted[names.CDS][cluster_name]
                current = wanted[names.EDS][current_cluster.refs[0][1]]
                return load_assignment(name, current.entries, current.admission_rate)
        return None

    def _substitute(
        self, subscription: Subscription, name: str, wanted: Resource, now_ns: int
    ) -> Resource | None:
        """Return what to send for a resource with rejected versions; none of those is sent again."""
        rejections = subscription.rejections[name]
        if wanted.version not in rejections.versions:
            if now_ns >= rejections.retry_at_ns:
                return wanted
            self.retry_at_ns = min(self.retry_at_ns or rejections.retry_at_ns, rejections.retry_at_ns)
        self.withheld = True
        reduced = self.without_unavailable(subscription, name)
        return reduced if reduced is not None else subscription.held.get(name)
