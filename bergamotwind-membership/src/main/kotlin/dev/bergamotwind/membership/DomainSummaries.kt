package dev.bergamotwind.membership

import dev.bergamotwind.api.FailureDomainId

/** Sums the state of one failure domain for the others. */
internal object DomainSummaries {
    fun of(domain: FailureDomainId, own: LocalDigest, peers: List<PeerStatus>, nowNanos: Long): DomainSummary {
        val live = peers.filter { it.connected && it.failureDomain == domain }
        val demand = (
            live.flatMap {
                it.demand
            } + own.demand
            ).groupBy { it.copy(tokensPerSecond = 0) }.map { (_, parts) ->
            parts.first().copy(tokensPerSecond = parts.sumOf { it.tokensPerSecond })
        }
        val reports = live.flatMap { it.reports } + own.reports
        val models = reports.flatMap { report -> report.loaded.map { it.model }.distinct().map { it to report } }
            .groupBy({ it.first }, { it.second })
            .map { (model, on) -> ModelLoad(model, on.size, on.sumOf { it.running }, on.sumOf { it.queued }) }
        val revision = (live.map { it.revision } + own.revision).min()
        return DomainSummary(domain, nowNanos, live.size + 1, revision, demand, models)
    }
}
