package dev.bergamotwind.replay

import dev.bergamotwind.api.AdapterId
import dev.bergamotwind.api.FailureDomainId
import dev.bergamotwind.api.Mebibytes
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.RegionId
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.api.TeamId
import dev.bergamotwind.api.Tokens
import dev.bergamotwind.configuration.Adapter
import dev.bergamotwind.configuration.FailureDomain
import dev.bergamotwind.configuration.Model
import dev.bergamotwind.configuration.OperatorConfiguration
import dev.bergamotwind.configuration.Target
import dev.bergamotwind.configuration.TargetKind
import dev.bergamotwind.configuration.Team
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** Sizes of a deployment, from the resource `deployments/<name>.json`; source: design page, section 1.3. */
@Serializable
public data class Deployment(
    val name: String,
    val regions: List<String>,
    val domainLatencyMicros: Long,
    val regionLatencyMicros: Long,
    val modelMemoryMib: List<Long>,
    val adapters: Int,
    val adapterMemoryMib: Long,
    val engines: Int,
    val engineMemoryMib: Long,
    val acceleratorsPerEngine: Int,
    val storeLoadsPerSecond: Double,
    val storeConcurrentLoads: Int,
    val adapterLoadsInFlight: Int,
    val teams: List<DeploymentTeam>,
    val requestsPerSecond: Double,
) {
    /** Returns the configuration of this deployment; engines are spread evenly over the regions. */
    public fun toConfiguration(): OperatorConfiguration = OperatorConfiguration(
        failureDomains = regions.map { FailureDomain(FailureDomainId(it), RegionId(it)) }.associateBy { it.id },
        teams = teams.map { Team(TeamId(it.name), Tokens(it.ratePerSecond), Tokens(it.ratePerSecond * BURST_SECONDS)) }
            .associateBy { it.id },
        models = modelMemoryMib.mapIndexed { index, memory -> Model(modelId(index), "1", Mebibytes(memory)) }
            .associateBy { it.id },
        adapters = List(adapters) {
            Adapter(adapterId(it), modelId(it % modelMemoryMib.size), Mebibytes(adapterMemoryMib))
        }.associateBy { it.id },
        targets = List(engines, ::engine).associateBy { it.id },
    )

    private fun engine(index: Int) = Target(
        TargetId("engine-$index"),
        TargetKind.ENGINE,
        FailureDomainId(regions[index % regions.size]),
        "127.0.0.1:${FIRST_PORT + index}",
        Mebibytes(engineMemoryMib),
        acceleratorsPerEngine,
    )

    /** Reads deployments and names their parts. */
    public companion object {
        private const val BURST_SECONDS = 10
        private const val FIRST_PORT = 7000

        /** Returns the shipped deployment [name], or null. */
        public fun ofName(name: String): Deployment? =
            Deployment::class.java.getResourceAsStream("/deployments/$name.json")?.use { stream ->
                Json.decodeFromString(serializer(), stream.readBytes().decodeToString())
            }

        internal fun modelId(index: Int): ModelId = ModelId("model-$index")

        internal fun adapterId(index: Int): AdapterId = AdapterId("adapter-$index")
    }
}
