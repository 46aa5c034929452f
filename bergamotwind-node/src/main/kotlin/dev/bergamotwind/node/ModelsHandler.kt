package dev.bergamotwind.node

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import dev.bergamotwind.admission.RequestedResource
import dev.bergamotwind.api.TeamId
import kotlinx.serialization.json.add
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray

/** Handles `/v1/models`: the models and adapters that the caller's team may use. */
internal class ModelsHandler(parts: ServingParts) : CallerHandler(parts) {
    override suspend fun handle(call: Call) {
        val authorization = call.request.headers().getAll(HttpHeaderNames.AUTHORIZATION)
        val freshness = parts.applied.freshnessAge(parts.clock.monotonicNanos())
        parts.authenticator().authorize(authorization, RequestedResource.OwnTeam, freshness).fold(
            { call.response.fail(it) },
            { access ->
                val headers = ResponseHeaders.of(HttpStatus.OK, HttpHeaderNames.CONTENT_TYPE, MediaType.JSON)
                call.response.whole(headers, HttpData.ofUtf8(listing(access.team!!)))
            },
        )
    }

    private fun listing(id: TeamId): String = buildJsonObject {
        put("object", "list")
        putJsonArray("data") {
            names(id).forEach { name ->
                addJsonObject {
                    put("id", name)
                    put("object", "model")
                    put("owned_by", id.value)
                }
            }
        }
    }.toString()

    private fun names(id: TeamId): List<String> {
        val configuration = parts.applied.current
        val team = configuration.teams[id] ?: return emptyList()
        val models = team.models.filter { it in configuration.models }.map { it.value }
        val adapters = team.adapters.mapNotNull { configuration.adapters[it] }
            .filter { it.model in team.models }.map { "${it.model}:${it.id}" }
        return (models + adapters).sorted()
    }
}
