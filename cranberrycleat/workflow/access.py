"""Authorizes callers by their API keys, using the configuration that a host holds.

Only digests of keys are kept, so that no log, dump or message contains a key. Every
request is authorized separately. A host that may have missed a configuration change
answers that it cannot decide: it neither accepts a key that may have been revoked nor
denies a key that it may not know yet. `config_watch` bounds the age of the
configuration; the front end (see `job_frontend`) calls this module for each request.
"""

import hashlib
from collections.abc import Callable, Mapping
from typing import Final

import attrs

from cranberrycleat.amounts import Amounts
from cranberrycleat.clock import Clock
from cranberrycleat.workflow.ports import ClusterConfig, Queue, Workspace

REVOKED_KEY_MARGIN_S: Final = 1.0
"""How long before the bound on revoked keys a host stops trusting its configuration.

The table may withhold changes from its feeds for this long.
"""
UNKNOWN_KEY_MARGIN_S: Final = 0.5
LOGGED_DIGEST_DIGITS: Final = 8
"""The number of digits of a digest that are logged."""


def key_digest(key: str) -> str:
    """Return the digest of a key, in hexadecimal digits."""
    return hashlib.sha256(key.encode()).hexdigest()


def may_see(*, caller: str, owner: str) -> bool:
    """Return whether a caller may see a job; a job of no workspace is public."""
    return owner in ("", caller)


@attrs.frozen(kw_only=True)
class Granted:
    """The request is authorized.

    Attributes:
        workspace: The workspace it acts for; empty where no key is needed.
        digest: The digest of the key that was presented.
        version: The version of the configuration that was used.
    """

    workspace: str = ""
    digest: str = ""
    version: int = 0


@attrs.frozen(kw_only=True)
class Denied:
    """The request is denied: its key is missing or belongs to no workspace."""

    reason: str


@attrs.frozen(kw_only=True)
class Undecided:
    """The configuration held by this host is too old to decide."""

    reason: str


@attrs.define(kw_only=True, eq=False)
class KeyAuthorizer:
    """Authorizes requests by their keys.

    Attributes:
        config: Returns the configuration in force on this host.
        confirmed_at: Returns the time as of which it was known to be the newest.
        clock: A clock that also advances while the host is suspended.
        config_bound_s: The time within which a new key is accepted on every host.
        revoke_bound_s: The time within which a revoked key is rejected on every host;
            None if partitioned hosts are exempt.
    """

    config: Callable[[], ClusterConfig | None]
    confirmed_at: Callable[[], float]
    clock: Clock
    config_bound_s: float
    revoke_bound_s: float | None = None
    _indexed: ClusterConfig | None = None
    _by_digest: dict[str, Workspace] = attrs.field(factory=dict)
    _quotas: dict[str, Amounts] = attrs.field(factory=dict)
    _weights: dict[str, float] = attrs.field(factory=dict)

    def authorize(self, queue: Queue, digest: str) -> Granted | Denied | Undecided:
        """Authorize a request to a queue by the digest of its key; empty for no key.

        A request is sent before it is authorized. So if the configuration is younger
        than the bound on revoked keys now, the request was sent within that bound of
        any later revocation, however long the answer takes.
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
        """Return whether another host's grant is valid by this host's configuration.

        A grant based on the same or a newer version is not checked again.
        """
        config = self.config()
        if config is None or config.version <= granted.version or not granted.digest:
            return True
        found = self._find(config, granted.digest)
        return found is not None and found.name == granted.workspace

    def quotas(self) -> Mapping[str, Amounts] | None:
        """Return the quota of each workspace; None if a newer one may be in force."""
        config = self.config()
        if config is None:
            return None
        if config.workspaces is None:
            return {}
        if self.clock.now() - self.confirmed_at() > self.config_bound_s:
            return None
        self._index(config)
        return self._quotas

    def weights(self) -> Mapping[str, float]:
        """Return the weight of each workspace that has one, as last configured."""
        config = self.config()
        if config is None or config.workspaces is None:
            return {}
        self._index(config)
        return self._weights

    def _may_be_revoked(self, age_s: float) -> bool:
        bound_s = self.revoke_bound_s
        return bound_s is not None and age_s > bound_s - REVOKED_KEY_MARGIN_S

    def _find(self, config: ClusterConfig, digest: str) -> Workspace | None:
        self._index(config)
        # The timing of the lookup reveals digests only, which callers cannot choose.
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
        self._weights = {each.name: each.weight for each in workspaces if each.weight}
        # A removed workspace keeps its last quota for attempts that are still running.
        self._quotas |= {workspace.name: workspace.quota for workspace in workspaces}
