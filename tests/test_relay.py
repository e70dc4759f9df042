"""The relay that tests use to simulate partitions."""

import socket

from tests.relay import Relay


def test_relay_survives_unreachable_target() -> None:
    """Guards against the accept thread ending when a connection to the target fails."""
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        target = free.getsockname()
    relay = Relay(target=target)
    host, _, port = relay.url.removeprefix("http://").partition(":")
    with socket.create_connection((host, int(port))) as conn:
        conn.settimeout(5.0)
        assert conn.recv(1) == b""
    with socket.socket() as listener:
        listener.bind(target)
        listener.listen()
        listener.settimeout(5.0)
        with socket.create_connection((host, int(port))):
            upstream, _ = listener.accept()
            upstream.close()
