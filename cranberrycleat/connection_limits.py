"""Limits of what clients may make a process hold, and for how long.

One `ConnectionLimits` describes a process. `connection_budget` counts what all
connections of the process hold, and `bounded_protocol` applies the limits to each. No
default affects a client that keeps to the platform's documentation. The reasons are in
docs/design/client-limits.md.
"""

import resource
from typing import Final

import attrs

KIB: Final = 1024
MIB: Final = 1024 * 1024
MAX_BODY_BYTES: Final = 4 * MIB
"""Maximum size of a request body where an app sets no smaller one."""
MAX_DEADLINE_S: Final = 60.0
"""Maximum time that a caller may make a request wait for its outcome."""

DEFAULT_MEMORY_MB: Final = 300
DEFAULT_MAX_FDS: Final = 4096
FILE_FDS: Final = 200
"""Descriptors that the platform reserves for files; the others are for sockets."""
CLIENT_SOCKETS: Final = 0.6
"""Fraction of the sockets that clients may use. The others are for the connections of
this process to the store, to other hosts and to workers."""
ADDRESS_CONNECTIONS: Final = 0.75
"""Fraction of the client connections that one address may use, so that a crowd on one
address leaves some for the others."""
CONNECTIONS_MEMORY: Final = 0.25
"""Fraction of the memory that idle connections may take, with the kernel's buffers."""
HELD_MEMORY: Final = 0.1
"""Fraction of the memory that unfinished requests and unread answers may take."""
FREE_BYTES: Final = 4 * KIB
"""Bytes of each connection that the budget does not count, so that small requests are
served however much others hold. `CONNECTION_BYTES` covers them."""
READ_BYTES: Final = 16 * KIB
"""Maximum number of bytes read at once."""
RECEIVE_BUFFER_BYTES: Final = 32 * KIB
"""Size of the kernel's receive buffer of a connection, whose bytes count as memory."""
CONNECTION_BYTES: Final = RECEIVE_BUFFER_BYTES + 16 * KIB
"""Memory that one connection takes at most while it holds no request."""
MAX_ACCEPTS: Final = 64
"""Maximum number of connections accepted before other events are handled."""


@attrs.frozen(kw_only=True)
class ConnectionLimits:
    """The limits of a process's client connections.

    Attributes:
        max_connections: Open connections on all addresses.
        max_address_connections: Open connections on one address.
        max_held_bytes: Bytes of unfinished requests and unread answers of all
            connections.
        max_head_bytes: Bytes of a request's head, including empty lines before it;
            also those of a chunk's extension, and of the trailers.
        max_fields: Header fields of a request, without its trailers.
        max_encoded_body_bytes: Bytes of a body in its transfer encoding.
        max_skipped_body_bytes: Bytes of a body that is skipped after an early answer,
            to keep the connection open.
        head_timeout_s: Time from the first byte of a head to its last.
        body_timeout_s: Time from the end of a head to the end of the body.
        answer_timeout_s: Time that unsent bytes of an answer may wait for the client.
        idle_timeout_s: Time that an open connection may wait for a request.
        linger_s: Time for a client to read the answer that precedes a close.
        report_s: Minimum time between two log lines about closed connections.
    """

    max_connections: int
    max_address_connections: int
    max_held_bytes: int
    max_head_bytes: int = 32 * KIB
    max_fields: int = 100
    max_encoded_body_bytes: int = 8 * MAX_BODY_BYTES
    max_skipped_body_bytes: int = 64 * KIB
    head_timeout_s: float = 20.0
    body_timeout_s: float = 120.0
    answer_timeout_s: float = 60.0
    idle_timeout_s: float = 75.0
    linger_s: float = 2.0
    report_s: float = 5.0

    @property
    def max_accepts(self) -> int:
        """Maximum number of connections accepted at once on one address."""
        return max(1, min(MAX_ACCEPTS, self.max_connections // 8))


def process_limits(
    *, memory_mb: float = DEFAULT_MEMORY_MB, max_fds: int = DEFAULT_MAX_FDS
) -> ConnectionLimits:
    """Return the limits for a process.

    Args:
        memory_mb: The process's memory, in megabytes.
        max_fds: The process's maximum number of descriptors; the limit that the system
            sets for this process counts if it is lower.
    """
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if allowed != resource.RLIM_INFINITY:
        max_fds = min(max_fds, allowed)
    memory_bytes = memory_mb * 1_000_000
    by_memory = memory_bytes * CONNECTIONS_MEMORY / CONNECTION_BYTES
    by_sockets = max(0, max_fds - FILE_FDS) * CLIENT_SOCKETS
    connections = max(8, int(min(by_memory, by_sockets)))
    return ConnectionLimits(
        max_connections=connections,
        max_address_connections=max(4, int(connections * ADDRESS_CONNECTIONS)),
        max_held_bytes=max(MIB, int(memory_bytes * HELD_MEMORY)),
    )
