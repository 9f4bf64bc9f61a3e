"""Addresses of the form IP:PORT."""

import ipaddress

MAX_ADDRESS_LENGTH = len("255.255.255.255:65535")
MAX_PORT = 65535


def parse_address(text):
    """Return the IPv4 address and the port of ``IP:PORT``.

    Raises
    ------
    ValueError
        The text is not the canonical form of such an address.
    """
    if len(text) > MAX_ADDRESS_LENGTH:
        raise ValueError("address is too long")
    ip, _, port_text = text.rpartition(":")
    address = ipaddress.IPv4Address(ip)
    if address.is_unspecified:
        raise ValueError("address is unspecified")
    return ip, parse_port(port_text)


def parse_port(text):
    """Return the number of a port; raise `ValueError` unless it is canonical."""
    valid = text.isascii() and text.isdigit() and len(text) <= len(str(MAX_PORT))
    port = int(text) if valid else 0
    if not 0 < port <= MAX_PORT or str(port) != text:
        raise ValueError(f"port is not a number from 1 to {MAX_PORT}")
    return port
