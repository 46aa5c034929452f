package dev.bergamotwind.configuration

import dev.bergamotwind.api.AdapterId
import dev.bergamotwind.api.ChangeId
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.FailureDomainId
import dev.bergamotwind.api.Mebibytes
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.RegionId
import dev.bergamotwind.api.Revision
import dev.bergamotwind.api.RouteId
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.api.TeamId
import dev.bergamotwind.api.Tokens
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class ConfigurationEditorSpec {
    private val domain = FailureDomain(FailureDomainId("lowlands-1"), RegionId("lowlands"))
    private val model = Model(ModelId("paint"), "1", Mebibytes(10))
    private val adapter = Adapter(AdapterId("matt"), model.id, Mebibytes(1))
    private val route = Route(RouteId("orders"))
    private val team = Team(
        TeamId("joiners"),
        Tokens(10),
        Tokens(20),
        models = setOf(model.id),
        adapters = setOf(adapter.id),
        routes = setOf(route.id),
    )
    private val engine =
        Target(TargetId("e1"), TargetKind.ENGINE, domain.id, "127.0.0.1:1", Mebibytes(100), accelerators = 2)
    private val service = Target(TargetId("s1"), TargetKind.SERVICE, domain.id, "[::1]:2", route = route.id)
    private val key = ApiKey(keyDigest("k"), team.id)
    private val setUpEdits = listOf(
        ConfigurationEdit.PutFailureDomain(domain),
        ConfigurationEdit.PutModel(model),
        ConfigurationEdit.PutAdapter(adapter),
        ConfigurationEdit.PutRoute(route),
        ConfigurationEdit.PutTarget(engine),
        ConfigurationEdit.PutTarget(service),
        ConfigurationEdit.PutTeam(team),
        ConfigurationEdit.PutKey(key),
    )

    private fun apply(base: OperatorConfiguration, edits: List<ConfigurationEdit>, revision: Revision? = null) =
        ConfigurationChange(ChangeId("c"), revision ?: base.revision.next(), edits, "test", 0)
            .let { ConfigurationEditor.apply(base, it) }

    private val base = apply(OperatorConfiguration(), setUpEdits).fold({ error(it.message) }, { it })

    /** Edits that reference missing items or hold invalid values must be rejected. */
    @Test
    fun `rejects invalid edits`() {
        val cases = listOf(
            ConfigurationEdit.SetEntrySlots(0) to "positive",
            ConfigurationEdit.PutTeam(team.copy(ratePerSecond = Tokens(0))) to "rate",
            ConfigurationEdit.PutTeam(team.copy(burst = Tokens(-1))) to "burst",
            ConfigurationEdit.PutTeam(team.copy(id = TeamId("a/b"))) to "id",
            ConfigurationEdit.PutTeam(team.copy(models = setOf(ModelId("x")))) to "model x does not exist",
            ConfigurationEdit.PutTeam(team.copy(adapters = setOf(AdapterId("x")))) to "adapter x does not exist",
            ConfigurationEdit.PutTeam(team.copy(routes = setOf(RouteId("x")))) to "route x does not exist",
            ConfigurationEdit.PutKey(key.copy(team = TeamId("x"))) to "team x does not exist",
            ConfigurationEdit.PutModel(model.copy(memory = Mebibytes(0))) to "memory",
            ConfigurationEdit.PutModel(model.copy(id = ModelId("a:b"))) to "id",
            ConfigurationEdit.PutAdapter(adapter.copy(model = ModelId("x"))) to "model x does not exist",
            ConfigurationEdit.PutTarget(engine.copy(address = "engine.example:1")) to "not an IP address",
            ConfigurationEdit.PutTarget(engine.copy(address = "127.0.0.256:1")) to "not an IP address",
            ConfigurationEdit.PutTarget(engine.copy(address = "127.0.0.1")) to "not IP:PORT",
            ConfigurationEdit.PutTarget(engine.copy(failureDomain = FailureDomainId("x"))) to "failure domain x",
            ConfigurationEdit.PutTarget(engine.copy(memory = Mebibytes(0))) to "memory",
            ConfigurationEdit.PutTarget(service.copy(route = RouteId("x"))) to "route x does not exist",
            ConfigurationEdit.RemoveModel(model.id) to "used by matt, joiners",
            ConfigurationEdit.RemoveAdapter(adapter.id) to "used by joiners",
            ConfigurationEdit.RemoveRoute(route.id) to "used by s1, joiners",
            ConfigurationEdit.RemoveFailureDomain(domain.id) to "used by e1, s1",
            ConfigurationEdit.RemoveTarget(TargetId("x")) to "does not exist",
            ConfigurationEdit.RevokeKey(keyDigest("x")) to "does not exist",
        )
        for ((edit, expected) in cases) {
            val failure = apply(base, listOf(edit)).leftOrNull()
            assertTrue(failure is Failure.Invalid && expected in failure.message, "$edit: $failure")
        }
        assertTrue(apply(base, emptyList()).leftOrNull() is Failure.Invalid)
        assertTrue(apply(base, setUpEdits, Revision(3)).leftOrNull() is Failure.Conflict)
    }

    /** The keys of a removed team must stop working. */
    @Test
    fun `removing a team revokes its keys`() {
        val removed = apply(base, listOf(ConfigurationEdit.RemoveTeam(team.id))).getOrNull()!!
        assertEquals(emptyMap<Any, Any>(), removed.keys)
    }

    /** The JSON format must not lose or rename a field. */
    @Test
    fun `configuration and submitted changes survive a JSON round trip`() {
        val text = ConfigurationJson.encodeToString(OperatorConfiguration.serializer(), base)
        assertEquals(base, SubmissionJson.decodeFromString(OperatorConfiguration.serializer(), text))
        val submitted = SubmitChanges(ChangeId("c"), "test", setUpEdits)
        val body = ConfigurationJson.encodeToString(SubmitChanges.serializer(), submitted)
        assertTrue("{\"type\":\"put_failure_domain\"" in body, body)
        assertEquals(submitted, SubmissionJson.decodeFromString(SubmitChanges.serializer(), body))
    }
}
