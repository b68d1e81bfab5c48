"""Slot and connection limits of endpoints.

Counts the slots and connections that the owner of a shard uses at each endpoint and
keeps them within the limits of the endpoint.
"""

import heapq
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from sortedcontainers import SortedList

from arbutusladder.ids import VmId


@dataclass(eq=False)
class Slot:
    """One slot of an endpoint that is used by a request.

    Attributes:
        endpoint: The endpoint.
        usage: Counters of the endpoint.
        released: Whether the slot was released or its release is scheduled.
    """

    endpoint: VmId
    usage: "_EndpointUsage"
    released: bool = False


@dataclass(eq=False)
class _EndpointUsage:
    """Limits and usage of one endpoint.

    Attributes:
        connections: Maximum number of connections that this owner may use.
        listed: Whether the endpoint is in the current list of endpoints.
    """

    endpoint: VmId
    slots: int
    connections: int
    listed: bool = True
    slots_used: int = 0
    connections_used: int = 0
    group: "_EndpointGroup | None" = None

    def free(self) -> int:
        return max(0, self.slots - self.slots_used)

    def set_slots(self, slots: int, used: int) -> None:
        """Sets limit and usage of the slots and reorders the group."""
        if self.group:
            self.group.remove(self)
        self.slots, self.slots_used = slots, used
        if self.group:
            self.group.add(self)

    def add_used(self, slots: int) -> None:
        self.set_slots(self.slots, self.slots_used + slots)


@dataclass(eq=False)
class _EndpointGroup:
    """Endpoints of one service, ordered by descending number of free slots."""

    order: SortedList = field(default_factory=SortedList)
    free: int = 0

    def add(self, usage: _EndpointUsage) -> None:
        self.order.add((-usage.free(), usage.endpoint))
        self.free += usage.free()

    def remove(self, usage: _EndpointUsage) -> None:
        self.order.remove((-usage.free(), usage.endpoint))
        self.free -= usage.free()


class EndpointLimits:
    """Counts the slots and connections that one shard owner uses by endpoint.

    A slot or connection whose request may still run at the endpoint counts as used
    until a given monotonic time in seconds.
    """

    def __init__(self):
        self._usage_by_endpoint: dict[VmId, _EndpointUsage] = {}
        self._held_slots: list[tuple[float, int, _EndpointUsage]] = []
        self._held_connections: list[tuple[float, int, _EndpointUsage]] = []
        self._pending_occupied_by_endpoint: dict[VmId, tuple[int, float]] = {}
        self._groups_by_name: dict[str, _EndpointGroup] = {}
        self._sequence = 0
        self.blocked_until = 0.0

    def set_endpoint(self, endpoint: VmId, slots: int, connections: int) -> None:
        """Adds an endpoint or changes its limits.

        Only half of the connections are used, so that a new owner of the shard can
        connect while connections of a paused former owner are still open.
        """
        usage = self._usage_by_endpoint.get(endpoint)
        usable = max(1, connections // 2)
        if usage:
            usage.set_slots(slots, usage.slots_used)
            usage.connections = usable
            usage.listed = True
            return
        usage = _EndpointUsage(endpoint, slots, usable)
        self._usage_by_endpoint[endpoint] = usage
        if endpoint in self._pending_occupied_by_endpoint:
            self.occupy_slots(
                endpoint, *self._pending_occupied_by_endpoint.pop(endpoint)
            )

    def remove_endpoint(self, endpoint: VmId) -> None:
        """Removes an endpoint once none of its slots and connections is in use.

        An endpoint that is missing from the list for a short time keeps its counts.
        """
        usage = self._usage_by_endpoint.get(endpoint)
        if usage:
            usage.listed = False
        for name, other in list(self._usage_by_endpoint.items()):
            if not other.listed and not other.slots_used and not other.connections_used:
                del self._usage_by_endpoint[name]

    def block_all_until(self, until: float) -> None:
        """Treats all slots as used until a time, including those added later."""
        self.blocked_until = max(self.blocked_until, until)

    def set_group(self, group: str, endpoints: Iterable[VmId]) -> None:
        """Sets the endpoints of a group.

        The group keeps them sorted, so that the cost of an acquisition does not grow
        with their number. An endpoint belongs to at most one group.
        """
        previous_group = self._groups_by_name.get(group)
        for _, endpoint in previous_group.order if previous_group else ():
            usage = self._usage_by_endpoint.get(endpoint)
            if usage and usage.group is previous_group:
                usage.group = None
        new_group = self._groups_by_name[group] = _EndpointGroup()
        for endpoint in endpoints:
            usage = self._usage_by_endpoint.get(endpoint)
            if usage and usage.group:
                usage.group.remove(usage)
            if usage:
                usage.group = new_group
                new_group.add(usage)

    def acquire(
        self, group: str, now: float, excluded: Collection[VmId] = ()
    ) -> Slot | None:
        """Acquires a slot of the endpoint with the most free slots.

        Args:
            group: Name of the group.
            now: Monotonic time in seconds.
            excluded: Endpoints that must not be used.

        Returns:
            The slot, or None if no permitted endpoint has a free one.
        """
        if not self.free_slots(group, now):
            return None
        for negative_free, endpoint in self._groups_by_name[group].order:
            if not negative_free:
                return None
            if endpoint not in excluded:
                usage = self._usage_by_endpoint[endpoint]
                usage.add_used(1)
                return Slot(endpoint, usage)
        return None

    def release(self, slot: Slot, now: float) -> None:
        """Releases a slot; repeated calls have no effect."""
        if slot.released:
            return
        slot.released = True
        slot.usage.add_used(-1)

    def release_at(self, slot: Slot, until: float) -> None:
        """Schedules the release of a slot; it counts as used until then."""
        if slot.released:
            return
        slot.released = True
        self._schedule_release(self._held_slots, slot.usage, until)

    def occupy_slots(self, endpoint: VmId, slots: int, until: float) -> None:
        """Counts slots as used that the former owner of the shard may still use.

        For an unknown endpoint this takes effect when the endpoint is added.
        """
        usage = self._usage_by_endpoint.get(endpoint)
        if usage is None:
            self._pending_occupied_by_endpoint[endpoint] = (slots, until)
            return
        usage.add_used(slots)
        for _ in range(slots):
            self._schedule_release(self._held_slots, usage, until)

    def open_connection(self, endpoint: VmId, now: float) -> bool:
        """Counts a new connection; returns False if the limit is reached."""
        self._release_expired(now)
        usage = self._usage_by_endpoint.get(endpoint)
        if usage is None or usage.connections_used >= usage.connections:
            return False
        usage.connections_used += 1
        return True

    def close_connection(self, endpoint: VmId, until: float = 0.0) -> None:
        """Stops counting a connection, immediately or at a given time.

        Args:
            endpoint: The endpoint.
            until: Time until which the endpoint may still hold the connection open;
                0 to stop counting it immediately.
        """
        usage = self._usage_by_endpoint.get(endpoint)
        if usage is None:
            return
        if until:
            self._schedule_release(self._held_connections, usage, until)
        else:
            usage.connections_used -= 1

    def free_slots(self, group: str, now: float) -> int:
        """Returns the number of free slots of a group."""
        self._release_expired(now)
        endpoint_group = self._groups_by_name.get(group)
        if endpoint_group is None or now < self.blocked_until:
            return 0
        return endpoint_group.free

    def used_slots_by_endpoint(self, now: float) -> dict[VmId, int]:
        """Returns the used slots by endpoint, for a handover to the next owner."""
        self._release_expired(now)
        return {
            endpoint: usage.slots if now < self.blocked_until else usage.slots_used
            for endpoint, usage in self._usage_by_endpoint.items()
        }

    def connections_used(self, endpoint: VmId, now: float) -> int:
        """Returns the number of connections that count as used."""
        self._release_expired(now)
        usage = self._usage_by_endpoint.get(endpoint)
        return usage.connections_used if usage else 0

    def next_release(self) -> float | None:
        """Returns the time of the next scheduled slot release, or None."""
        return self._held_slots[0][0] if self._held_slots else None

    def _schedule_release(
        self, release_heap: list, usage: _EndpointUsage, until: float
    ) -> None:
        self._sequence += 1
        heapq.heappush(release_heap, (until, self._sequence, usage))

    def _release_expired(self, now: float) -> None:
        while self._held_slots and self._held_slots[0][0] <= now:
            heapq.heappop(self._held_slots)[2].add_used(-1)
        while self._held_connections and self._held_connections[0][0] <= now:
            heapq.heappop(self._held_connections)[2].connections_used -= 1
