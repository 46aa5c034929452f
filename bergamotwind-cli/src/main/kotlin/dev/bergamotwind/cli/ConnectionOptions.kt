package dev.bergamotwind.cli

import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.parameters.groups.OptionGroup
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import dev.bergamotwind.configuration.IpEndpoint
import java.net.URI

/** Options that say which nodes to call and with which credential. */
internal class ConnectionOptions(nodesFromEnvironment: Boolean) : OptionGroup("Connection") {
    private val nodes by option(
        "--node",
        metavar = "URL",
        envvar = if (nodesFromEnvironment) "BERGAMOTWIND_NODES" else null,
        help = "Administration port of a node, http://IP:PORT; repeatable or separated by commas",
    ).multiple(required = true)
    private val credential by option(
        "--credential",
        envvar = "BERGAMOTWIND_CREDENTIAL",
        help = "Credential of the operators",
    ).required()

    /** Opens a client for the nodes. */
    fun open(): AdministrationClient =
        AdministrationClient(nodes.flatMap { it.split(',', ' ') }.filter { it.isNotBlank() }.map(::address), credential)

    private fun address(text: String): URI {
        val scheme = text.substringBefore("://", "")
        val endpoint = IpEndpoint.parse(text.substringAfter("://").removeSuffix("/"))
        if (scheme != "http" && scheme != "https") throw UsageError("--node: '$text' is not http://IP:PORT")
        return endpoint.fold({ throw UsageError("--node: ${it.message}. ${it.remedy}") }, { URI("$scheme://$it") })
    }
}
