package dev.bergamotwind.cli

import com.github.ajalt.clikt.parameters.options.option
import dev.bergamotwind.api.FailureDomainId
import dev.bergamotwind.api.RegionId
import dev.bergamotwind.configuration.ConfigurationEdit
import dev.bergamotwind.configuration.FailureDomain
import dev.bergamotwind.configuration.OperatorConfiguration

/** `domain put`. */
internal class PutDomainCommand : PutCommand("failure domain") {
    private val region by option("--region", help = "Region that the failure domain is in")

    override fun edit(now: OperatorConfiguration): ConfigurationEdit {
        val old = now.failureDomains[FailureDomainId(id)]
        val newRegion = region?.let(::RegionId) ?: needed(old?.region, "--region")
        return ConfigurationEdit.PutFailureDomain(FailureDomain(FailureDomainId(id), newRegion))
    }
}
