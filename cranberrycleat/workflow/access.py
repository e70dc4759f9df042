"""Which workspace a caller acts for, by the configuration that a host holds.

A key is known by its digest alone, so that no log, dump or message holds one. Each
request is judged by itself. A host that may have missed a change says so, and neither
runs what a key no longer allows nor denies a key that it may not have heard of;
`config_watch` tells how old its configuration may be, the door (see `door`) asks here.
"""

import hashlib
from collections.abc import Callable, Mapping
from typing import Final

import attrs

from cranberrycleat.amounts import Amounts
from cranberrycleat.clock import Clock
from cranberrycleat.workflow.ports import ClusterConfig, Queue, Workspace

REVOKED_KEY_MARGIN_S: Final = 1.0
"""How long before the bound on revoked keys a host stops to trust what it holds: a
table may keep changes from its feeds for so long."""
UNKNOWN_KEY_MARGIN_S: Final = 0.5
LOGGED_DIGEST_DIGITS: Final = 8
"""Digits of a digest that logs tell."""


def key_digest(key: str) -> str:
    """Return a key's digest, in hexadecimal digits."""
    return hashlib.sha256(key.encode()).hexdigest()


def may_see(*, caller: str, owner: str) -> bool:
    """Tell whether a workspace's callers are told of a job; nobody's is told to all."""
    return owner in ("", caller)


@attrs.frozen(kw_only=True)
class Granted:
    """The request may be carried out.

    Attributes:
        workspace: For whom; empty where no key is needed.
        digest: The digest of the key that it came with.
        version: The configuration that it was judged by.
    """

    workspace: str = ""
    digest: str = ""
    version: int = 0


@attrs.frozen(kw_only=True)
class Denied:
    """No workspace has the key."""

    reason: str


@attrs.frozen(kw_only=True)
class Undecided:
    """The configuration held here is too old to tell."""

    reason: str


@attrs.define(kw_only=True, eq=False)
class KeyAuthorizer:
    """Judges requests by their keys.

    Attributes:
        config: Tells the configuration in force here.
        confirmed_at: Tells as of when it was known to be the newest.
        clock: Counts suspended time.
        config_bound_s: Within which time a new key is good everywhere.
        revoke_bound_s: Within which time a revoked key is good nowhere; None: hosts
            that are cut off are not bound.
    """

    config: Callable[[], ClusterConfig | None]
    confirmed_at: Callable[[], float]
    clock: Clock
    config_bound_s: float
    revoke_bound_s: float | None = None
    _indexed: ClusterConfig | None = None
    _by_digest: dict[str, Workspace] = attrs.field(factory=dict)
    _quotas: dict[str, Amounts] = attrs.field(factory=dict)

    def authorize(self, queue: Queue, digest: str) -> Granted | Denied | Undecided:
        """Judge a request to a queue by the digest of its key; empty: it has none.

        A request is sent before it is judged. So it is sent within the bound on
        revoked keys if the configuration is younger than that bound now, whatever
        was changed since and however long the answer takes.
        """
        config = self.config()
        if config is None:
            return Undecided(reason="no configuration yet")
        if config.workspaces is None or queue.public:
            return Granted(version=config.version)
        if not digest:
            return Denied(reason="a key is needed")
        workspace = self._find(config, digest)
        age_s = self.clock.now() - self.confirmed_at()
        if workspace is None and age_s <= self.config_bound_s - UNKNOWN_KEY_MARGIN_S:
            return Denied(reason="no workspace has this key")
        if workspace is None or self._may_be_revoked(age_s):
            return Undecided(reason="the configuration here may be old")
        return Granted(workspace=workspace.name, digest=digest, version=config.version)

    def still_grants(self, granted: Granted) -> bool:
        """Tell whether another host's grant stands by the configuration held here.

        One that was judged by the same version or a newer one is not judged again.
        """
        config = self.config()
        if config is None or config.version <= granted.version or not granted.digest:
            return True
        found = self._find(config, granted.digest)
        return found is not None and found.name == granted.workspace

    def quotas(self) -> Mapping[str, Amounts] | None:
        """Return each workspace's quota; None where a newer one may be in force."""
        config = self.config()
        if config is None:
            return None
        if config.workspaces is None:
            return {}
        if self.clock.now() - self.confirmed_at() > self.config_bound_s:
            return None
        self._index(config)
        return self._quotas

    def _may_be_revoked(self, age_s: float) -> bool:
        bound_s = self.revoke_bound_s
        return bound_s is not None and age_s > bound_s - REVOKED_KEY_MARGIN_S

    def _find(self, config: ClusterConfig, digest: str) -> Workspace | None:
        self._index(config)
        # The time of a look-up tells of digests only, which no caller can choose.
        return self._by_digest.get(digest)

    def _index(self, config: ClusterConfig) -> None:
        if self._indexed is config:
            return
        self._indexed = config
        workspaces = config.workspaces or ()
        self._by_digest = {
            digest: workspace
            for workspace in workspaces
            for digest in workspace.key_digests
        }
        # One that the configuration lacks keeps its last quota for what it still has.
        self._quotas |= {workspace.name: workspace.quota for workspace in workspaces}
