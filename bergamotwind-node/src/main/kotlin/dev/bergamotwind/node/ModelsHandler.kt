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
internal class ModelsHandler(dependencies: HandlerDependencies) : CallerHandler(dependencies) {
    override suspend fun handle(call: Call) {
        val authorization = call.request.headers().getAll(HttpHeaderNames.AUTHORIZATION)
        val freshness = dependencies.appliedConfiguration.freshnessAge(dependencies.clock.monotonicNanos())
        dependencies.authenticator().authorize(authorization, RequestedResource.OwnTeam, freshness).fold(
            { call.response.fail(it) },
            { access ->
                val headers = ResponseHeaders.of(HttpStatus.OK, HttpHeaderNames.CONTENT_TYPE, MediaType.JSON)
                call.response.sendComplete(headers, HttpData.ofUtf8(modelListJson(access.team!!)))
            },
        )
    }

    private fun modelListJson(id: TeamId): String = buildJsonObject {
        put("object", "list")
        putJsonArray("data") {
            modelNames(id).forEach { name ->
                addJsonObject {
                    put("id", name)
                    put("object", "model")
                    put("owned_by", id.value)
                }
            }
        }
    }.toString()

    private fun modelNames(id: TeamId): List<String> {
        val configuration = dependencies.appliedConfiguration.current
        val team = configuration.teams[id] ?: return emptyList()
        val models = team.models.filter { it in configuration.models }.map { it.value }
        val adapters = team.adapters.mapNotNull { configuration.adapters[it] }
            .filter { it.model in team.models }.map { "${it.model}:${it.id}" }
        return (models + adapters).sorted()
    }
}
