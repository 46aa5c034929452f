package dev.bergamotwind.configuration

import dev.bergamotwind.api.AdapterId
import dev.bergamotwind.api.FailureDomainId
import dev.bergamotwind.api.KeyDigest
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.RouteId
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.api.TeamId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** One edit of the operator configuration. A put edit replaces an existing item with the same id. */
@Serializable
public sealed interface ConfigurationEdit {
    /** An edit that removes an item. */
    @Serializable
    public sealed interface Removal : ConfigurationEdit

    /** Sets the number of equal shares into which the guaranteed part of each team's rate is divided. */
    @Serializable
    @SerialName("set_entry_slots")
    public data class SetEntrySlots(val count: Int) : ConfigurationEdit

    /** Adds or replaces a failure domain. */
    @Serializable
    @SerialName("put_failure_domain")
    public data class PutFailureDomain(val failureDomain: FailureDomain) : ConfigurationEdit

    /** Removes a failure domain that no target is in. */
    @Serializable
    @SerialName("remove_failure_domain")
    public data class RemoveFailureDomain(val id: FailureDomainId) : Removal

    /** Adds or replaces a team. */
    @Serializable
    @SerialName("put_team")
    public data class PutTeam(val team: Team) : ConfigurationEdit

    /** Removes a team and revokes its keys. */
    @Serializable
    @SerialName("remove_team")
    public data class RemoveTeam(val id: TeamId) : Removal

    /** Adds a key to a team. */
    @Serializable
    @SerialName("put_key")
    public data class PutKey(val key: ApiKey) : ConfigurationEdit

    /** Revokes a key. */
    @Serializable
    @SerialName("revoke_key")
    public data class RevokeKey(val digest: KeyDigest) : Removal

    /** Adds or replaces a model. */
    @Serializable
    @SerialName("put_model")
    public data class PutModel(val model: Model) : ConfigurationEdit

    /** Removes a model that no adapter and no team uses. */
    @Serializable
    @SerialName("remove_model")
    public data class RemoveModel(val id: ModelId) : Removal

    /** Adds or replaces an adapter. */
    @Serializable
    @SerialName("put_adapter")
    public data class PutAdapter(val adapter: Adapter) : ConfigurationEdit

    /** Removes an adapter that no team uses. */
    @Serializable
    @SerialName("remove_adapter")
    public data class RemoveAdapter(val id: AdapterId) : Removal

    /** Adds or replaces a route. */
    @Serializable
    @SerialName("put_route")
    public data class PutRoute(val route: Route) : ConfigurationEdit

    /** Removes a route that no target serves and no team uses. */
    @Serializable
    @SerialName("remove_route")
    public data class RemoveRoute(val id: RouteId) : Removal

    /** Adds or replaces a target. */
    @Serializable
    @SerialName("put_target")
    public data class PutTarget(val target: Target) : ConfigurationEdit

    /** Removes a target. */
    @Serializable
    @SerialName("remove_target")
    public data class RemoveTarget(val id: TargetId) : Removal
}
