package dev.bergamotwind.configuration

import dev.bergamotwind.api.AdapterId
import dev.bergamotwind.api.FailureDomainId
import dev.bergamotwind.api.KeyDigest
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.Revision
import dev.bergamotwind.api.RouteId
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.api.TeamId
import kotlinx.serialization.Serializable

/**
 * The operator configuration as of [revision]. [revokedKeys] holds the most recently revoked keys, oldest first; they
 * cannot be added again, so that an outdated planning sheet does not restore a revoked key.
 */
@Serializable
public data class OperatorConfiguration(
    val revision: Revision = Revision(0),
    val entrySlots: Int = DEFAULT_ENTRY_SLOTS,
    val failureDomains: Map<FailureDomainId, FailureDomain> = emptyMap(),
    val teams: Map<TeamId, Team> = emptyMap(),
    val keys: Map<KeyDigest, ApiKey> = emptyMap(),
    val models: Map<ModelId, Model> = emptyMap(),
    val adapters: Map<AdapterId, Adapter> = emptyMap(),
    val routes: Map<RouteId, Route> = emptyMap(),
    val targets: Map<TargetId, Target> = emptyMap(),
    val revokedKeys: Set<KeyDigest> = emptySet(),
)
