package dev.bergamotwind.node

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import dev.bergamotwind.api.Artifact
import dev.bergamotwind.api.ChangeId
import dev.bergamotwind.api.FailureDomainId
import dev.bergamotwind.api.Mebibytes
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.RegionId
import dev.bergamotwind.api.RouteId
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.api.TeamId
import dev.bergamotwind.api.Tokens
import dev.bergamotwind.api.VirtualMachine
import dev.bergamotwind.api.VirtualMachineState
import dev.bergamotwind.api.VmId
import dev.bergamotwind.configuration.ApiKey
import dev.bergamotwind.configuration.ConfigurationEdit
import dev.bergamotwind.configuration.ConfigurationJson
import dev.bergamotwind.configuration.FailureDomain
import dev.bergamotwind.configuration.Model
import dev.bergamotwind.configuration.Route
import dev.bergamotwind.configuration.SubmitChanges
import dev.bergamotwind.configuration.Target
import dev.bergamotwind.configuration.TargetKind
import dev.bergamotwind.configuration.Team
import dev.bergamotwind.configuration.keyDigest
import dev.bergamotwind.test.EngineOptions
import dev.bergamotwind.test.EngineServer
import dev.bergamotwind.test.PlatformServer
import dev.bergamotwind.test.ServiceServer
import dev.bergamotwind.test.TargetFaults
import kotlinx.serialization.json.Json
import java.net.ServerSocket
import java.util.concurrent.CompletableFuture

/** Nodes, two engines, a two-replica service and a platform on loopback. [processes] runs each node in a process. */
internal class TestDeployment(tokenDelayMillis: Long = 0, count: Int = 2, private val processes: Boolean = false) :
    AutoCloseable {
    val platform = PlatformServer().start()
    val engines = listOf("engine-a", "engine-b").map { id ->
        val loaded = mapOf(Artifact(ModelId("shade"), "1") to Mebibytes(4_000))
        EngineServer("127.0.0.1", 0, EngineOptions(TargetId(id), Mebibytes(80_000), false, loaded, tokenDelayMillis))
            .start()
    }
    val services = listOf("order-a", "order-b").map { ServiceServer("127.0.0.1", 0, TargetId(it)).start() }
    val nodes: List<RunningNode>

    init {
        val virtualMachines = List(count) { "vm-$it" }.map {
            VirtualMachine(VmId(it), FailureDomainId("lowlands"), "127.0.0.1", VirtualMachineState.LIVE)
        }
        platform.virtualMachines(virtualMachines)
        val ports = virtualMachines.map { freePort() }
        nodes = virtualMachines.mapIndexed { index, machine -> start(settings(machine.id, ports[index], ports)) }
        applyEdits("deployment", configuration())
        awaitCondition("rate shares and reports") {
            nodes.all { node ->
                requestCompletion(node).join().status().isSuccess &&
                    postOrder(node, "warm-up").join().status().isSuccess
            }
        }
    }

    /** Submits [edits] and waits until they are in effect at all nodes. */
    fun applyEdits(id: String, edits: List<ConfigurationEdit>) {
        val body = ConfigurationJson.encodeToString(SubmitChanges(ChangeId(id), "test", edits))
        val answer = operatorRequest(nodes[0], HttpMethod.POST, "/administration/v1/changes", body)
        check(answer.status().isSuccess) { answer.contentUtf8() }
        val revision = Json.parseToJsonElement(answer.contentUtf8()).let {
            "\"revision\":(\\d+)".toRegex().find(it.toString())
        }
        val revisionField = checkNotNull(revision).value
        awaitCondition("revision in effect") {
            nodes.all {
                revisionField in operatorRequest(it, HttpMethod.GET, "/administration/v1/status").contentUtf8()
            }
        }
    }

    fun operatorRequest(
        node: RunningNode,
        method: HttpMethod,
        path: String,
        body: String = "",
    ): AggregatedHttpResponse = send(node.administrationPort, requestHeaders(method, path, "operator"), body).join()

    fun requestCompletion(
        node: RunningNode,
        prompt: String = "warm-up",
        stream: Boolean = false,
        tokens: Int = 8,
        key: String = KEY,
    ): CompletableFuture<AggregatedHttpResponse> {
        val body = """{"model":"shade","stream":$stream,"max_tokens":$tokens,"prompt":"$prompt"}"""
        return send(node.callerPort, requestHeaders(HttpMethod.POST, "/v1/completions", key), body)
    }

    fun postOrder(
        node: RunningNode,
        body: String,
        idempotencyKey: String? = null,
    ): CompletableFuture<AggregatedHttpResponse> {
        val headers = requestHeaders(HttpMethod.POST, "/services/orders/kits", KEY).toBuilder()
        if (idempotencyKey != null) headers.add("idempotency-key", idempotencyKey)
        return send(node.callerPort, headers.build(), body)
    }

    fun send(port: Int, headers: RequestHeaders, body: String): CompletableFuture<AggregatedHttpResponse> =
        WebClient.of("h1c://127.0.0.1:$port").execute(headers, body).aggregate()

    fun requestHeaders(method: HttpMethod, path: String, key: String?): RequestHeaders =
        RequestHeaders.builder(method, path).contentType(MediaType.JSON).apply {
            if (key != null) add(HttpHeaderNames.AUTHORIZATION, "Bearer $key")
        }.build()

    fun setTargetFaults(port: Int, faults: TargetFaults) {
        val body = Json.encodeToString(faults)
        check(send(port, requestHeaders(HttpMethod.POST, "/faults", null), body).join().status().isSuccess)
    }

    /** Number of executions by request body, summed over all replicas of the service. */
    fun executionsByBody(): Map<String, Int> = services.map { service ->
        val answer = send(service.port, requestHeaders(HttpMethod.GET, "/executions", null), "").join()
        Json.decodeFromString<Map<String, Int>>(answer.contentUtf8())
    }.flatMap { it.entries }.groupBy({ it.key }, { it.value }).mapValues { it.value.sum() }

    fun executionCount(body: String): Int = executionsByBody()[body] ?: 0

    fun violatedInvariants(): List<String> = nodes.flatMap { node ->
        val status = operatorRequest(node, HttpMethod.GET, "/administration/v1/status").contentUtf8()
        "\"([A-Z_]+)\":([1-9]\\d*)".toRegex().findAll(status).map { it.value }.toList()
    }

    fun awaitCondition(what: String, condition: () -> Boolean) {
        val deadline = System.nanoTime() + 30_000_000_000
        while (!condition()) {
            check(System.nanoTime() < deadline) { "timed out after 30 s waiting for $what" }
            Thread.sleep(50)
        }
    }

    override fun close() {
        nodes.map { node -> Thread(node::stop).apply { start() } }.forEach { it.join() }
        (engines + services + platform).forEach(AutoCloseable::close)
    }

    private fun configuration() = listOf(
        ConfigurationEdit.PutFailureDomain(FailureDomain(FailureDomainId("lowlands"), RegionId("scotland"))),
        ConfigurationEdit.PutModel(Model(ModelId("shade"), "1", Mebibytes(4_000))),
        ConfigurationEdit.PutModel(Model(ModelId("gloss"), "1", Mebibytes(4_000))),
        ConfigurationEdit.PutRoute(Route(RouteId("orders"))),
        ConfigurationEdit.PutRoute(Route(RouteId("stock"), open = true, idempotent = true)),
        ConfigurationEdit.PutTeam(team("lowland", setOf("shade"), setOf("orders"))),
        ConfigurationEdit.PutTeam(team("borders", setOf("gloss"), emptySet())),
        ConfigurationEdit.PutKey(ApiKey(keyDigest(KEY), TeamId("lowland"))),
        ConfigurationEdit.PutKey(ApiKey(keyDigest(SECOND_KEY), TeamId("lowland"))),
        ConfigurationEdit.PutKey(ApiKey(keyDigest(OTHER_TEAM_KEY), TeamId("borders"))),
    ) + engines.mapIndexed { index, engine -> target("engine-${'a' + index}", TargetKind.ENGINE, engine.port, null) } +
        services.mapIndexed { index, replica ->
            target("order-${'a' + index}", TargetKind.SERVICE, replica.port, "orders")
        }

    private fun team(id: String, models: Set<String>, routes: Set<String>) = Team(
        TeamId(id),
        ratePerSecond = Tokens(100_000),
        burst = Tokens(100_000),
        models = models.map(::ModelId).toSet(),
        routes = routes.map(::RouteId).toSet(),
    )

    private fun target(id: String, kind: TargetKind, port: Int, route: String?) = ConfigurationEdit.PutTarget(
        Target(
            TargetId(id),
            kind,
            FailureDomainId("lowlands"),
            "127.0.0.1:$port",
            memory = Mebibytes(if (kind == TargetKind.ENGINE) 80_000 else 0),
            accelerators = if (kind == TargetKind.ENGINE) 1 else 0,
            route = route?.let(::RouteId),
        ),
    )

    private fun settings(vm: VmId, peerPort: Int, peerPorts: List<Int>): String = """
        vm = "$vm"
        failure_domain = "lowlands"
        region = "scotland"
        [listen]
        addresses = ["127.0.0.1"]
        caller_port = ${freePort()}
        administration_port = ${freePort()}
        peer_port = $peerPort
        [platform]
        key_value_service = ["${platform.endpoint}"]
        virtual_machine_list = ["${platform.endpoint}"]
        [administration]
        credential_sha256 = "${keyDigest("operator").value}"
        [peers]
        shared_secret = "a shared secret for the tests of the nodes"
        addresses = [${peerPorts.joinToString { "\"127.0.0.1:$it\"" }}]
        [limits]
        balancer_lag_milliseconds = 50
        maximum_body_bytes = 65536
    """.trimIndent()

    private fun start(settings: String): RunningNode = if (processes) NodeProcess(settings) else InProcessNode(settings)

    private fun freePort(): Int = ServerSocket(0).use { it.localPort }

    companion object {
        const val KEY = "key-of-lowland"
        const val SECOND_KEY = "second-key-of-lowland"
        const val OTHER_TEAM_KEY = "key-of-borders"
    }
}
