package dev.bergamotwind.membership

import dev.bergamotwind.api.FailureDomainId

/** Aggregates the state of one failure domain into the summary that other domains receive. */
internal object DomainSummarizer {
    fun summarize(
        domain: FailureDomainId,
        local: LocalDigest,
        peers: List<PeerStatus>,
        nowNanos: Long,
    ): DomainSummary {
        val livePeers = peers.filter { it.connected && it.failureDomain == domain }
        val demand = (livePeers.flatMap { it.demand } + local.demand)
            .groupBy { it.copy(tokensPerSecond = 0) }
            .map { (_, parts) -> parts.first().copy(tokensPerSecond = parts.sumOf { it.tokensPerSecond }) }
        val reports = livePeers.flatMap { it.reports } + local.reports
        val models = reports.flatMap { report -> report.loaded.map { it.model }.distinct().map { it to report } }
            .groupBy({ it.first }, { it.second })
            .map { (model, targets) ->
                ModelLoad(model, targets.size, targets.sumOf { it.running }, targets.sumOf { it.queued })
            }
        val lowestRevision = (livePeers.map { it.revision } + local.revision).min()
        return DomainSummary(domain, nowNanos, livePeers.size + 1, lowestRevision, demand, models)
    }
}
