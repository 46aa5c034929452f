package dev.bergamotwind.membership

import dev.bergamotwind.api.AdapterId
import dev.bergamotwind.api.Artifact
import dev.bergamotwind.api.FailureDomainId
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.Revision
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.api.TeamId

/** Converts between typed digests and the [DigestItem]s that are sent. */
internal object DigestItemMapper {
    fun toItems(digest: LocalDigest, nowNanos: Long): List<DigestItem> =
        digest.reports.flatMap { targetItems(it, nowNanos) } + digest.demand.map {
            DigestItem(ItemKey(ItemKinds.TOKEN_DEMAND, keyNames(it)), listOf(it.tokensPerSecond), nowNanos)
        } + digest.rateDemand.map {
            val values = listOf(it.tokensPerSecond, it.largestRequest, it.unitsHeld.toLong())
            DigestItem(ItemKey(ItemKinds.TEAM_RATE_DEMAND, listOf(it.team.value)), values, nowNanos)
        }

    private fun keyNames(demand: TokenDemand) = listOf(demand.model.value, demand.adapter?.value.orEmpty())

    private fun targetItems(digest: TargetDigest, nowNanos: Long): List<DigestItem> {
        val target = digest.target.value
        val load = listOf(digest.running.toLong(), digest.queued.toLong(), if (digest.leaving) 1L else 0L)
        val artifacts = digest.loaded.map {
            val names = listOf(target, it.model.value, it.version, it.adapter?.value.orEmpty())
            DigestItem(ItemKey(ItemKinds.LOADED_ARTIFACT, names), PRESENT, nowNanos)
        }
        val prefixes = digest.warmPrefixes.map {
            DigestItem(ItemKey(ItemKinds.WARM_PREFIX, listOf(target, it)), PRESENT, nowNanos)
        }
        val loadItem = DigestItem(ItemKey(ItemKinds.TARGET_LOAD, listOf(target)), load, digest.observedNanos)
        return artifacts + loadItem + prefixes
    }

    fun toItems(summary: DomainSummary): List<DigestItem> {
        val domain = summary.failureDomain.value
        val observed = summary.observedNanos
        val totals = listOf(summary.nodeCount.toLong(), summary.lowestRevision.value)
        return listOf(DigestItem(ItemKey(ItemKinds.DOMAIN, listOf(domain)), totals, observed)) +
            summary.demand.map {
                val key = ItemKey(ItemKinds.DOMAIN_DEMAND, listOf(domain) + keyNames(it))
                DigestItem(key, listOf(it.tokensPerSecond), observed)
            } +
            summary.models.map {
                val load = listOf(it.targetCount.toLong(), it.running.toLong(), it.queued.toLong())
                DigestItem(ItemKey(ItemKinds.DOMAIN_MODEL_LOAD, listOf(domain, it.model.value)), load, observed)
            }
    }

    fun tokenDemand(items: Collection<DigestItem>): List<TokenDemand> =
        items.filter { it.key.kind == ItemKinds.TOKEN_DEMAND }.map { toTokenDemand(it.key.names, it) }

    private fun toTokenDemand(names: List<String>, item: DigestItem) =
        TokenDemand(ModelId(names[0]), names[1].takeIf { it.isNotEmpty() }?.let(::AdapterId), item.values[0])

    fun rateDemand(items: Collection<DigestItem>): List<TeamRateDemand> =
        items.filter { it.key.kind == ItemKinds.TEAM_RATE_DEMAND }.map {
            TeamRateDemand(TeamId(it.key.names[0]), it.values[0], it.values[1], it.values[2].toInt())
        }

    fun targetDigests(items: Collection<DigestItem>): List<TargetDigest> {
        val artifacts = items.filter { it.key.kind == ItemKinds.LOADED_ARTIFACT }.groupBy { it.key.names[0] }
        val prefixes = items.filter { it.key.kind == ItemKinds.WARM_PREFIX }.groupBy { it.key.names[0] }
        return items.filter { it.key.kind == ItemKinds.TARGET_LOAD }.map { item ->
            val target = item.key.names[0]
            TargetDigest(
                TargetId(target),
                item.observedNanos,
                item.values[0].toInt(),
                item.values[1].toInt(),
                item.values[2] != 0L,
                artifacts[target].orEmpty().map { toArtifact(it.key.names.drop(1)) },
                prefixes[target].orEmpty().map { it.key.names[1] },
            )
        }
    }

    private fun toArtifact(names: List<String>): Artifact =
        Artifact(ModelId(names[0]), names[1], names[2].takeIf { it.isNotEmpty() }?.let(::AdapterId))

    fun domainSummaries(items: Collection<DigestItem>): List<DomainSummary> {
        val demand = items.filter { it.key.kind == ItemKinds.DOMAIN_DEMAND }.groupBy { it.key.names[0] }
        val models = items.filter { it.key.kind == ItemKinds.DOMAIN_MODEL_LOAD }.groupBy { it.key.names[0] }
        return items.filter { it.key.kind == ItemKinds.DOMAIN }.map { item ->
            val domain = item.key.names[0]
            DomainSummary(
                FailureDomainId(domain),
                item.observedNanos,
                item.values[0].toInt(),
                Revision(item.values[1]),
                demand[domain].orEmpty().map { toTokenDemand(it.key.names.drop(1), it) },
                models[domain].orEmpty().map { toModelLoad(it) },
            )
        }
    }

    private fun toModelLoad(item: DigestItem): ModelLoad {
        val (targetCount, running, queued) = item.values.map { it.toInt() }
        return ModelLoad(ModelId(item.key.names[1]), targetCount, running, queued)
    }

    private val PRESENT = listOf(1L)
}
