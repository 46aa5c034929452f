package dev.bergamotwind.test

import arrow.core.Either
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.common.logging.RequestLogProperty
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.Server
import com.linecorp.armeria.server.ServiceRequestContext
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.KeyValueService
import dev.bergamotwind.api.LeaseId
import dev.bergamotwind.api.Revision
import dev.bergamotwind.api.VirtualMachine
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import java.net.InetSocketAddress
import java.util.concurrent.CompletableFuture
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Fake platform: serves [store] through the published etcd v3 JSON API, and the VM list at `/vms`. `PUT /vms` replaces
 * the list, which becomes visible to readers after [virtualMachineLag]; `POST /faults` replaces [faults]. With a [port]
 * of 0, the first start selects a free port, which later starts reuse.
 */
public class PlatformServer(
    port: Int = 0,
    private val address: String = "127.0.0.1",
    private val store: InMemoryKeyValueService = InMemoryKeyValueService(),
    private val virtualMachineLag: Duration = Duration.ZERO,
    private val random: Random = Random.Default,
) : AutoCloseable {
    private class VmListing(val machines: List<VirtualMachine>, val sinceNanos: Long)

    private val api = EtcdApi(store)
    private var server: Server? = null

    @Volatile
    private var listings = listOf(VmListing(emptyList(), System.nanoTime() - virtualMachineLag.inWholeNanoseconds))

    /** Port that this server listens on; if it was given as 0, it is 0 until the first start. */
    public var port: Int = port
        private set

    /** `IP:PORT` of this server. */
    public val endpoint: String get() = "$address:$port"

    /** Faults that currently apply. */
    @Volatile
    public var faults: PlatformFaults = PlatformFaults()

    /** Starts serving on the same port as before, and returns this server. */
    public fun start(): PlatformServer = apply {
        val started = build()
        started.start().join()
        port = started.activeLocalPort()
        server = started
    }

    /** Closes the port and all connections; the entries of the store are kept. */
    override fun close() {
        server?.stop()?.join()
        server = null
    }

    /** Replaces the VM list. */
    public fun virtualMachines(machines: List<VirtualMachine>) {
        listings = listOf(visibleListing(), VmListing(machines, System.nanoTime()))
    }

    private fun build(): Server = Server.builder()
        .http(InetSocketAddress(address, port))
        .workerGroup(ServerTransport.workers, false)
        .gracefulShutdownTimeout(NO_WAIT, NO_WAIT)
        .requestTimeoutMillis(0)
        .service("/v3/kv/range", storeCall(isWrite = false, api::range))
        .service("/v3/kv/txn", storeCall(isWrite = true, api::transact))
        .service("/v3/lease/grant", storeCall(isWrite = true, api::grantLease))
        .service("/v3/lease/keepalive", storeCall(isWrite = true, api::keepAlive))
        .service("/v3/lease/revoke", storeCall(isWrite = true, api::revokeLease))
        .service("/v3/kv/lease/revoke", storeCall(isWrite = true, api::revokeLease))
        .service("/v3/watch") { context, request -> handleWithFaults(context, request) { body -> api.watch(body) } }
        .route().get("/vms").build { context, request -> handleWithFaults(context, request) { listMachines() } }
        .route().put("/vms").build { context, request -> handleOnBlockingThread(context, request, ::replaceMachines) }
        .route().post("/faults").build { context, request -> handleOnBlockingThread(context, request, ::replaceFaults) }
        .build()

    private fun storeCall(isWrite: Boolean, action: (JsonObject) -> HttpResponse) = HttpService { context, request ->
        handleWithFaults(context, request) { body ->
            val response = action(body)
            if (isWrite && random.nextDouble() < faults.loseAnswers) closeConnection(context) else response
        }
    }

    // To the client, a connection that is closed after the write took effect is a lost response.
    private fun closeConnection(context: ServiceRequestContext): HttpResponse {
        context.log().ensureAvailable(RequestLogProperty.SESSION).channel()?.close()
        return HttpResponse.streaming()
    }

    private fun handleWithFaults(
        context: ServiceRequestContext,
        request: HttpRequest,
        action: (JsonObject) -> HttpResponse,
    ): HttpResponse = handleOnBlockingThread(context, request) { body ->
        val current = faults
        if (current.delayMillis > 0) Thread.sleep(current.delayMillis)
        if (current.unavailable) {
            EtcdResponses.error(HttpStatus.SERVICE_UNAVAILABLE, EtcdResponses.CODE_UNAVAILABLE, "etcdserver: no leader")
        } else {
            action(if (body.isEmpty()) JsonObject(emptyMap()) else Json.parseToJsonElement(body).jsonObject)
        }
    }

    private fun handleOnBlockingThread(
        context: ServiceRequestContext,
        request: HttpRequest,
        action: (String) -> HttpResponse,
    ): HttpResponse = HttpResponse.of(
        request.aggregate().thenCompose { aggregated ->
            CompletableFuture.supplyAsync(
                { mapExceptions { action(aggregated.contentUtf8()) } },
                context.blockingTaskExecutor(),
            )
        },
    )

    private fun mapExceptions(action: () -> HttpResponse): HttpResponse = try {
        action()
    } catch (unsupported: EtcdRequest.Unsupported) {
        EtcdResponses.error(HttpStatus.NOT_IMPLEMENTED, EtcdResponses.CODE_UNIMPLEMENTED, unsupported.message.orEmpty())
    } catch (malformed: IllegalArgumentException) {
        EtcdResponses.error(HttpStatus.BAD_REQUEST, EtcdResponses.CODE_INVALID, malformed.message.orEmpty())
    }

    private fun visibleListing(): VmListing {
        val now = System.nanoTime()
        return listings.lastOrNull { now - it.sinceNanos >= virtualMachineLag.inWholeNanoseconds } ?: listings.first()
    }

    private fun listMachines(): HttpResponse =
        HttpResponse.of(MediaType.JSON, Json.encodeToString<List<VirtualMachine>>(visibleListing().machines))

    private fun replaceMachines(body: String): HttpResponse {
        virtualMachines(Json.decodeFromString<List<VirtualMachine>>(body))
        return HttpResponse.of(HttpStatus.NO_CONTENT)
    }

    private fun replaceFaults(body: String): HttpResponse {
        faults = Json.decodeFromString<PlatformFaults>(body)
        return HttpResponse.of(HttpStatus.NO_CONTENT)
    }

    private companion object {
        val NO_WAIT: java.time.Duration = java.time.Duration.ZERO
    }
}
