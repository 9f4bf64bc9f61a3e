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
    port = int(port_text) if port_text.isascii() and port_text.isdigit() else 0
    if not 0 < port <= MAX_PORT or str(port) != port_text:
        raise ValueError(f"port {port_text!r} is not a number from 1 to {MAX_PORT}")
    return ip, port


def is_address(text):
    """Return whether a text has the form ``IP:PORT``."""
    try:
        parse_address(text)
    except ValueError:
        return False
    return True
