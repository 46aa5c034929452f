package dev.bergamotwind.membership

import dev.bergamotwind.api.AdapterId
import dev.bergamotwind.api.Artifact
import dev.bergamotwind.api.FailureDomainId
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.Revision
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.api.TeamId

/** Translates between the typed digests and items. */
internal object DigestItems {
    fun of(digest: LocalDigest, nowNanos: Long): List<Item> =
        digest.reports.flatMap { ofTarget(it, nowNanos) } + digest.demand.map {
            Item(ItemKey(ItemKinds.DEMAND, namesOf(it)), listOf(it.tokensPerSecond), nowNanos)
        } + digest.rates.map {
            val values = listOf(it.tokensPerSecond, it.largestRequest, it.unitsHeld.toLong())
            Item(ItemKey(ItemKinds.RATE, listOf(it.team.value)), values, nowNanos)
        }

    private fun namesOf(demand: Demand) = listOf(demand.model.value, demand.adapter?.value.orEmpty())

    private fun ofTarget(digest: TargetDigest, nowNanos: Long): List<Item> {
        val target = digest.target.value
        val load = listOf(digest.running.toLong(), digest.queued.toLong(), if (digest.leaving) 1L else 0L)
        val artifacts = digest.loaded.map {
            val key =
                ItemKey(ItemKinds.ARTIFACT, listOf(target, it.model.value, it.version, it.adapter?.value.orEmpty()))
            Item(key, PRESENT, nowNanos)
        }
        val prefixes = digest.warmPrefixes.map {
            Item(ItemKey(ItemKinds.PREFIX, listOf(target, it)), PRESENT, nowNanos)
        }
        return artifacts + Item(ItemKey(ItemKinds.LOAD, listOf(target)), load, digest.observedNanos) + prefixes
    }

    fun of(summary: DomainSummary): List<Item> {
        val domain = summary.failureDomain.value
        val observed = summary.observedNanos
        val head = listOf(summary.nodes.toLong(), summary.revision.value)
        return listOf(Item(ItemKey(ItemKinds.DOMAIN, listOf(domain)), head, observed)) +
            summary.demand.map {
                val key = ItemKey(ItemKinds.DOMAIN_DEMAND, listOf(domain) + namesOf(it))
                Item(key, listOf(it.tokensPerSecond), observed)
            } +
            summary.models.map {
                val load = listOf(it.targets.toLong(), it.running.toLong(), it.queued.toLong())
                Item(ItemKey(ItemKinds.DOMAIN_MODEL, listOf(domain, it.model.value)), load, observed)
            }
    }

    fun demand(items: Collection<Item>): List<Demand> =
        items.filter { it.key.kind == ItemKinds.DEMAND }.map { demandOf(it.key.names, it) }

    private fun demandOf(names: List<String>, item: Item) =
        Demand(ModelId(names[0]), names[1].takeIf { it.isNotEmpty() }?.let(::AdapterId), item.values[0])

    fun rates(items: Collection<Item>): List<RateDemand> = items.filter { it.key.kind == ItemKinds.RATE }.map {
        RateDemand(TeamId(it.key.names[0]), it.values[0], it.values[1], it.values[2].toInt())
    }

    fun reports(items: Collection<Item>): List<TargetDigest> {
        val artifacts = items.filter { it.key.kind == ItemKinds.ARTIFACT }.groupBy { it.key.names[0] }
        val prefixes = items.filter { it.key.kind == ItemKinds.PREFIX }.groupBy { it.key.names[0] }
        return items.filter { it.key.kind == ItemKinds.LOAD }.map { item ->
            val target = item.key.names[0]
            TargetDigest(
                TargetId(target),
                item.observedNanos,
                item.values[0].toInt(),
                item.values[1].toInt(),
                item.values[2] != 0L,
                artifacts[target].orEmpty().map { artifactOf(it.key.names.drop(1)) },
                prefixes[target].orEmpty().map { it.key.names[1] },
            )
        }
    }

    private fun artifactOf(names: List<String>): Artifact =
        Artifact(ModelId(names[0]), names[1], names[2].takeIf { it.isNotEmpty() }?.let(::AdapterId))

    fun domains(items: Collection<Item>): List<DomainSummary> {
        val demand = items.filter { it.key.kind == ItemKinds.DOMAIN_DEMAND }.groupBy { it.key.names[0] }
        val models = items.filter { it.key.kind == ItemKinds.DOMAIN_MODEL }.groupBy { it.key.names[0] }
        return items.filter { it.key.kind == ItemKinds.DOMAIN }.map { item ->
            val domain = item.key.names[0]
            DomainSummary(
                FailureDomainId(domain),
                item.observedNanos,
                item.values[0].toInt(),
                Revision(item.values[1]),
                demand[domain].orEmpty().map { demandOf(it.key.names.drop(1), it) },
                models[domain].orEmpty().map { modelOf(it) },
            )
        }
    }

    private fun modelOf(item: Item): ModelLoad {
        val (targets, running, queued) = item.values.map { it.toInt() }
        return ModelLoad(ModelId(item.key.names[1]), targets, running, queued)
    }

    private val PRESENT = listOf(1L)
}
