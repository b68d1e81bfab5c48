"""Bounds of the numbers that other programs write.

Integers of JSON text may have hundreds of digits, which neither a float nor a record of
the log can hold. A number beyond these bounds is therefore an error of its message.
"""

from typing import Annotated, TypeAlias

from msgspec import Meta

# Amounts of a resource, of tasks or of attempts.
Amount: TypeAlias = Annotated[int, Meta(ge=0, le=10**9)]
# Numbers that increase, and times since 1970 in whole milliseconds.
Counter: TypeAlias = Annotated[int, Meta(ge=0, le=10**15)]
# Versions and offsets, whose steps another program chooses; the largest signed integer
# of 64 bits.
Position: TypeAlias = Annotated[int, Meta(ge=0, le=2**63 - 1)]
# Times and durations in milliseconds or seconds.
Duration: TypeAlias = Annotated[float, Meta(ge=0, le=10**15)]
# Factors, shares and percentages.
Factor: TypeAlias = Annotated[float, Meta(ge=0, le=10**9)]
# Rank of a queue.
Rank: TypeAlias = Annotated[int, Meta(ge=-(10**9), le=10**9)]
# TCP ports.
Port: TypeAlias = Annotated[int, Meta(ge=1, le=65535)]
