"""Slots and connections in use of each endpoint, never above its limits."""

import heapq
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from sortedcontainers import SortedList

from arbutusladder.ids import VmId


@dataclass(eq=False)
class Slot:
    """One slot of an endpoint, held by a request.

    Attributes:
        endpoint: The endpoint.
        usage: What is counted for the endpoint.
        released: Whether the slot was given back or put on hold.
    """

    endpoint: VmId
    usage: "_Usage"
    released: bool = False


@dataclass(eq=False)
class _Usage:
    endpoint: VmId
    slots: int
    connections: int
    listed: bool = True
    slots_used: int = 0
    connections_used: int = 0
    group: "_Group | None" = None

    def free(self) -> int:
        return max(0, self.slots - self.slots_used)

    def change(self, slots: int, used: int) -> None:
        """Sets the counts and keeps the group's order."""
        if self.group:
            self.group.remove(self)
        self.slots, self.slots_used = slots, used
        if self.group:
            self.group.add(self)

    def use(self, slots: int) -> None:
        self.change(self.slots, self.slots_used + slots)


@dataclass(eq=False)
class _Group:
    """Endpoints that may be taken, most free slots first."""

    order: SortedList = field(default_factory=SortedList)
    free: int = 0

    def add(self, usage: _Usage) -> None:
        self.order.add((-usage.free(), usage.endpoint))
        self.free += usage.free()

    def remove(self, usage: _Usage) -> None:
        self.order.remove((-usage.free(), usage.endpoint))
        self.free -= usage.free()


class EndpointLimits:
    """Counts what the owner of a shard uses of its endpoints.

    A slot or connection whose request may still run at the endpoint is put on
    hold until a time and counts as used until then.
    """

    def __init__(self):
        self._usage_by_endpoint: dict[VmId, _Usage] = {}
        self._held_slots: list[tuple[float, int, _Usage]] = []
        self._held_connections: list[tuple[float, int, _Usage]] = []
        self._occupied_by_endpoint: dict[VmId, tuple[int, float]] = {}
        self._groups_by_name: dict[str, _Group] = {}
        self._sequence = 0
        self.blocked_until = 0.0

    def set_endpoint(self, endpoint: VmId, slots: int, connections: int) -> None:
        """Adds an endpoint or changes its limits.

        Only half of the connections are used, so that a successor can open its
        own while those of a paused predecessor are still open.
        """
        usage = self._usage_by_endpoint.get(endpoint)
        usable = max(1, connections // 2)
        if usage:
            usage.change(slots, usage.slots_used)
            usage.connections = usable
            usage.listed = True
            return
        usage = _Usage(endpoint, slots, usable)
        self._usage_by_endpoint[endpoint] = usage
        if endpoint in self._occupied_by_endpoint:
            self.occupy_slots(endpoint, *self._occupied_by_endpoint.pop(endpoint))

    def remove_endpoint(self, endpoint: VmId) -> None:
        """Forgets an endpoint as soon as nothing of it is in use.

        An endpoint that vanishes from the list for a moment keeps its counts.
        """
        usage = self._usage_by_endpoint.get(endpoint)
        if usage:
            usage.listed = False
        for name, known in list(self._usage_by_endpoint.items()):
            if not known.listed and not known.slots_used and not known.connections_used:
                del self._usage_by_endpoint[name]

    def block_all_until(self, until: float) -> None:
        """Treats every slot as used until a time, also of endpoints seen later."""
        self.blocked_until = max(self.blocked_until, until)

    def set_group(self, group: str, endpoints: Iterable[VmId]) -> None:
        """Sets the endpoints that may be taken for a group.

        The group keeps them in order, so that the cost of a decision does not
        grow with their number. An endpoint is in one group at most.
        """
        old = self._groups_by_name.get(group)
        for _, endpoint in old.order if old else ():
            usage = self._usage_by_endpoint.get(endpoint)
            if usage and usage.group is old:
                usage.group = None
        new = self._groups_by_name[group] = _Group()
        for endpoint in endpoints:
            usage = self._usage_by_endpoint.get(endpoint)
            if usage and usage.group:
                usage.group.remove(usage)
            if usage:
                usage.group = new
                new.add(usage)

    def acquire(
        self, group: str, now: float, excluded: Collection[VmId] = ()
    ) -> Slot | None:
        """Takes a slot of the endpoint with the most free slots.

        Args:
            group: Name of the group.
            now: Monotonic time in seconds.
            excluded: Endpoints that must not be taken.
        """
        if not self.free_slots(group, now):
            return None
        for negative_free, endpoint in self._groups_by_name[group].order:
            if not negative_free:
                return None
            if endpoint not in excluded:
                usage = self._usage_by_endpoint[endpoint]
                usage.use(1)
                return Slot(endpoint, usage)
        return None

    def release(self, slot: Slot, now: float) -> None:
        """Gives a slot back; a second call has no effect."""
        if slot.released:
            return
        slot.released = True
        slot.usage.use(-1)

    def release_at(self, slot: Slot, until: float) -> None:
        """Keeps a slot occupied until a time, then gives it back."""
        if slot.released:
            return
        slot.released = True
        self._push(self._held_slots, slot.usage, until)

    def occupy_slots(self, endpoint: VmId, slots: int, until: float) -> None:
        """Occupies slots that a predecessor may still use.

        Slots of an endpoint that is not known yet are occupied when it is added.
        """
        usage = self._usage_by_endpoint.get(endpoint)
        if usage is None:
            self._occupied_by_endpoint[endpoint] = (slots, until)
            return
        usage.use(slots)
        for _ in range(slots):
            self._push(self._held_slots, usage, until)

    def open_connection(self, endpoint: VmId, now: float) -> bool:
        """Counts a new connection, unless the endpoint has too many."""
        self._expire(now)
        usage = self._usage_by_endpoint.get(endpoint)
        if usage is None or usage.connections_used >= usage.connections:
            return False
        usage.connections_used += 1
        return True

    def close_connection(self, endpoint: VmId, until: float = 0.0) -> None:
        """Stops counting a connection, at once or at a time.

        Args:
            endpoint: The endpoint.
            until: Time until which the endpoint may still see the connection.
        """
        usage = self._usage_by_endpoint.get(endpoint)
        if usage is None:
            return
        if until:
            self._push(self._held_connections, usage, until)
        else:
            usage.connections_used -= 1

    def free_slots(self, group: str, now: float) -> int:
        """Returns the number of free slots of a group."""
        self._expire(now)
        known = self._groups_by_name.get(group)
        if known is None or now < self.blocked_until:
            return 0
        return known.free

    def used_slots_by_endpoint(self, now: float) -> dict[VmId, int]:
        """Returns the used slots of each endpoint, for a handover."""
        self._expire(now)
        return {
            endpoint: usage.slots if now < self.blocked_until else usage.slots_used
            for endpoint, usage in self._usage_by_endpoint.items()
        }

    def connections_used(self, endpoint: VmId, now: float) -> int:
        """Returns the connections that count for an endpoint."""
        self._expire(now)
        usage = self._usage_by_endpoint.get(endpoint)
        return usage.connections_used if usage else 0

    def next_release(self) -> float | None:
        """Returns when the next held slot is given back, if any is held."""
        return self._held_slots[0][0] if self._held_slots else None

    def _push(self, held: list, usage: _Usage, until: float) -> None:
        self._sequence += 1
        heapq.heappush(held, (until, self._sequence, usage))

    def _expire(self, now: float) -> None:
        while self._held_slots and self._held_slots[0][0] <= now:
            heapq.heappop(self._held_slots)[2].use(-1)
        while self._held_connections and self._held_connections[0][0] <= now:
            heapq.heappop(self._held_connections)[2].connections_used -= 1
