"""Base class of the structs of settings, declarations and load profiles."""

from msgspec import Struct


class StrictStruct(Struct, forbid_unknown_fields=True, kw_only=True):
    """Struct with keyword arguments only that rejects unknown fields."""
