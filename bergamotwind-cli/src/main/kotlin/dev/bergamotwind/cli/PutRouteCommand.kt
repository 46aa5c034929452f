package dev.bergamotwind.cli

import dev.bergamotwind.api.RouteId
import dev.bergamotwind.configuration.ConfigurationEdit
import dev.bergamotwind.configuration.OperatorConfiguration
import dev.bergamotwind.configuration.Route

/** `route put`. */
internal class PutRouteCommand : PutCommand("route") {
    private val open by yesOrNo("--open", "Whether calls need no key")
    private val idempotent by yesOrNo("--idempotent", "Whether calls may be repeated")

    override fun edit(now: OperatorConfiguration): ConfigurationEdit {
        val route = now.routes[RouteId(id)] ?: Route(RouteId(id))
        return ConfigurationEdit.PutRoute(
            route.copy(open = open ?: route.open, idempotent = idempotent ?: route.idempotent),
        )
    }
}
