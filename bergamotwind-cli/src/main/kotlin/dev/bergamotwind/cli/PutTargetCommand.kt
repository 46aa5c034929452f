package dev.bergamotwind.cli

import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import dev.bergamotwind.api.FailureDomainId
import dev.bergamotwind.api.Mebibytes
import dev.bergamotwind.api.RouteId
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.configuration.ConfigurationEdit
import dev.bergamotwind.configuration.OperatorConfiguration
import dev.bergamotwind.configuration.Target
import dev.bergamotwind.configuration.TargetKind

/** `target put`. */
internal class PutTargetCommand : PutCommand("target") {
    private val kind by option("--kind", help = "Kind of the target")
        .choice("engine" to TargetKind.ENGINE, "service" to TargetKind.SERVICE)
    private val domain by option("--domain", help = "Failure domain that the target is in")
    private val address by option("--address", help = "Address of the target", metavar = "IP:PORT")
    private val memory by option("--memory", help = "Accelerator memory of an engine, in MiB").long()
    private val accelerators by option("--accelerators", help = "Accelerators of an engine").int()
    private val checksFencing by yesOrNo("--checks-fencing", "Whether the engine refuses old fencing numbers")
    private val route by option("--route", help = "Route that a service replica serves")
    private val leaving by yesOrNo("--leaving", "Whether the target gets no new work")

    override fun edit(now: OperatorConfiguration): ConfigurationEdit {
        val target = now.targets[TargetId(id)] ?: Target(
            TargetId(id),
            needed(kind, "--kind"),
            FailureDomainId(needed(domain, "--domain")),
            needed(address, "--address"),
        )
        return ConfigurationEdit.PutTarget(
            target.copy(
                kind = kind ?: target.kind,
                failureDomain = domain?.let(::FailureDomainId) ?: target.failureDomain,
                address = address ?: target.address,
                memory = memory?.let(::Mebibytes) ?: target.memory,
                accelerators = accelerators ?: target.accelerators,
                checksFencing = checksFencing ?: target.checksFencing,
                route = route?.let(::RouteId) ?: target.route,
                leaving = leaving ?: target.leaving,
            ),
        )
    }
}
