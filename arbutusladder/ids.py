"""Distinct types for ids, names and counters that several modules use."""

from typing import NewType

VmId = NewType("VmId", str)
ShardId = NewType("ShardId", str)
SeatId = NewType("SeatId", str)
JobId = NewType("JobId", str)
TaskId = NewType("TaskId", str)
TeamName = NewType("TeamName", str)
WorkloadName = NewType("WorkloadName", str)
PresetName = NewType("PresetName", str)
RequestId = NewType("RequestId", str)
RecordId = NewType("RecordId", str)
Epoch = NewType("Epoch", int)
FencingToken = NewType("FencingToken", int)
Revision = NewType("Revision", int)
Offset = NewType("Offset", int)
