package dev.bergamotwind.admission

import dev.bergamotwind.api.AdapterId
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.Mebibytes
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.RouteId
import dev.bergamotwind.api.TeamId
import dev.bergamotwind.api.Tokens
import dev.bergamotwind.configuration.Adapter
import dev.bergamotwind.configuration.ApiKey
import dev.bergamotwind.configuration.Model
import dev.bergamotwind.configuration.OperatorConfiguration
import dev.bergamotwind.configuration.Route
import dev.bergamotwind.configuration.Team
import dev.bergamotwind.configuration.UnconfirmedKeys
import dev.bergamotwind.configuration.keyDigest
import dev.bergamotwind.test.ThrowingInvariantMonitor
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Guards against a request that runs for the wrong team, or for no team. */
class KeyAuthenticatorSpec {
    private val oak = team("oak", setOf("base", "own"), setOf("tuned", "stray"), setOf("orders"))
    private val elm = team("elm", setOf("other"), setOf("theirs"), setOf("ledger"), UnconfirmedKeys.REFUSE)
    private val configuration = OperatorConfiguration(
        teams = listOf(oak, elm).associateBy { it.id },
        keys = listOf("oak", "elm").map { ApiKey(keyDigest("Key-$it"), TeamId(it)) }
            .associateBy { it.digest },
        models = listOf("base", "own", "other").map { Model(ModelId(it), "1", Mebibytes(1)) }.associateBy { it.id },
        adapters = listOf(adapter("tuned", "base"), adapter("stray", "other"), adapter("theirs", "other"))
            .associateBy { it.id },
        routes = listOf(Route(RouteId("orders")), Route(RouteId("ledger")), Route(RouteId("status"), open = true))
            .associateBy { it.id },
    )
    private val authenticator = KeyAuthenticator(configuration, ThrowingInvariantMonitor)

    private class Case(
        val name: String,
        val expected: String,
        val resource: RequestedResource,
        val headers: List<String> = listOf("Bearer Key-oak"),
        val freshnessAge: Duration = Duration.ZERO,
    )

    private val cases = listOf(
        Case("own model", "oak", model("base")),
        Case("own adapter", "oak", model("base:tuned")),
        Case("own route", "oak", route("orders")),
        Case("scheme in other case", "oak", model("base"), listOf("bEARER Key-oak")),
        Case("open route without key", "open", route("status"), emptyList()),
        Case("open route with unknown key", "open", route("status"), listOf("Bearer nobody")),
        Case("stale configuration, team that goes on", "oak", model("base"), freshnessAge = 6.seconds),
        Case("other team's model", "forbidden", model("other")),
        Case("unknown model looks the same", "forbidden", model("none")),
        Case("other team's adapter", "forbidden", model("other:theirs")),
        Case("adapter without its model", "forbidden", model("other:stray")),
        Case("adapter under a model it does not belong to", "forbidden", model("own:tuned")),
        Case("adapter under no model", "forbidden", model(":tuned")),
        Case("empty adapter", "forbidden", model("base:")),
        Case("second separator", "forbidden", model("base:tuned:tuned")),
        Case("model in other case", "forbidden", model("BASE")),
        Case("model with blank", "forbidden", model("base ")),
        Case("other team's route", "forbidden", route("ledger")),
        Case("route in other case", "forbidden", route("Status")),
        Case("no header", "unauthenticated", model("base"), emptyList()),
        Case("empty header", "unauthenticated", model("base"), listOf("")),
        Case("scheme only", "unauthenticated", model("base"), listOf("Bearer ")),
        Case("other scheme", "unauthenticated", model("base"), listOf("Basic Key-oak")),
        Case("key in other case", "unauthenticated", model("base"), listOf("Bearer key-oak")),
        Case("two blanks", "unauthenticated", model("base"), listOf("Bearer  Key-oak")),
        Case("trailing line break", "unauthenticated", model("base"), listOf("Bearer Key-oak\n")),
        Case("two keys in one header", "unauthenticated", model("base"), listOf("Bearer Key-oak, Bearer Key-elm")),
        Case("two headers", "unauthenticated", model("base"), listOf("Bearer Key-oak", "Bearer Key-oak")),
        Case("digest in place of the key", "unauthenticated", model("base"), listOf("Bearer ${oakDigest()}")),
        Case("endless key", "unauthenticated", model("base"), listOf("Bearer " + "a".repeat(100_000))),
        Case("stale configuration, team that refuses", "key_unconfirmed", model("other"), elmHeader(), 6.seconds),
        Case("fresh enough", "elm", model("other"), elmHeader(), 5.seconds),
    )

    @TestFactory
    fun `grants exactly what the key's team may use`() = cases.map { case ->
        dynamicTest(case.name) {
            val result = authenticator.authorize(case.headers, case.resource, case.freshnessAge)
            assertEquals(case.expected, result.fold(Failure::code) { it.team?.value ?: "open" })
        }
    }

    @Test
    fun `reauthorization fails when the key, the team or the resource has been removed`() {
        val access = authenticator.authorize(listOf("Bearer Key-oak"), model("base:tuned"), Duration.ZERO).getOrNull()!!
        val withoutAdapters = oak.copy(adapters = emptySet())
        val expected = mapOf(
            configuration to null,
            configuration.copy(keys = emptyMap()) to "unauthenticated",
            configuration.copy(teams = emptyMap()) to "unauthenticated",
            configuration.copy(teams = mapOf(oak.id to withoutAdapters)) to "forbidden",
            configuration.copy(keys = configuration.keys.mapValues { it.value.copy(team = elm.id) }) to
                "unauthenticated",
        )
        expected.forEach { (changed, code) ->
            val result = KeyAuthenticator(changed, ThrowingInvariantMonitor).reauthorize(access, Duration.ZERO)
            assertEquals(code, result.leftOrNull()?.code)
        }
    }

    private fun oakDigest() = keyDigest("Key-oak").value

    private fun elmHeader() = listOf("Bearer Key-elm")

    private fun model(name: String) = RequestedResource.NamedModel(name)

    private fun route(name: String) = RequestedResource.NamedRoute(RouteId(name))

    private fun adapter(id: String, model: String) = Adapter(AdapterId(id), ModelId(model), Mebibytes(1))

    private fun team(
        id: String,
        models: Set<String>,
        adapters: Set<String>,
        routes: Set<String>,
        unconfirmedKeys: UnconfirmedKeys = UnconfirmedKeys.SERVE,
    ) = Team(
        TeamId(id),
        ratePerSecond = Tokens(100),
        burst = Tokens(100),
        models = models.map(::ModelId).toSet(),
        adapters = adapters.map(::AdapterId).toSet(),
        routes = routes.map(::RouteId).toSet(),
        unconfirmedKeys = unconfirmedKeys,
    )
}
