"""Finds the process at the other end of a loopback connection."""

import os
from pathlib import Path

TCP_TABLE = Path("/proc/net/tcp")


def find_sender(port: int, server_port: int, pid_by_name: dict[str, int]) -> str:
    """Returns the name of the process that has opened a connection.

    Args:
        port: Port of its end.
        server_port: Port of the other end.
        pid_by_name: Processes that the test has started.

    Returns:
        Its name, or an empty string if none of them has the connection.
    """
    inode = _find_inode(port, server_port)
    for name, pid in pid_by_name.items():
        if inode and inode in _socket_inodes(pid):
            return name
    return ""


def _find_inode(port: int, server_port: int) -> str:
    for line in TCP_TABLE.read_text().splitlines()[1:]:
        columns = line.split()
        local, remote = columns[1], columns[2]
        ports = int(local.rpartition(":")[2], 16), int(remote.rpartition(":")[2], 16)
        if ports == (port, server_port):
            return columns[9]
    return ""


def _socket_inodes(pid: int) -> set[str]:
    folder = Path(f"/proc/{pid}/fd")
    inodes = set()
    try:
        for descriptor in folder.iterdir():
            try:
                target = os.readlink(descriptor)
            except OSError:
                continue
            if target.startswith("socket:["):
                inodes.add(target[8:-1])
    except OSError:
        pass
    return inodes
