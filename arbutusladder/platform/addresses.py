"""Addresses as the platform writes them."""

import ipaddress
import re

ADDRESS_PATTERN = re.compile(r"([0-9.]{7,15}):([1-9][0-9]{0,4})")
MAX_PORT = 65535


def is_address(text: str) -> bool:
    """Returns whether a text is an IPv4 address and a port."""
    match = ADDRESS_PATTERN.fullmatch(text)
    if match is None or int(match[2]) > MAX_PORT:
        return False
    try:
        ipaddress.IPv4Address(match[1])
    except ValueError:
        return False
    return True
