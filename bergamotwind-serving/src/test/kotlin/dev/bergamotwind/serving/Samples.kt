package dev.bergamotwind.serving

import dev.bergamotwind.api.AdapterId
import dev.bergamotwind.api.FailureDomainId
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.RegionId
import dev.bergamotwind.api.RequestId
import dev.bergamotwind.api.RouteId
import dev.bergamotwind.api.ServiceId
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.api.TeamId
import dev.bergamotwind.api.VmId
import dev.bergamotwind.serving.call.Call
import dev.bergamotwind.serving.call.ModelRequest
import dev.bergamotwind.serving.call.PromptPart
import dev.bergamotwind.serving.call.PromptPartId
import dev.bergamotwind.serving.catalogue.EngineProfile
import dev.bergamotwind.serving.catalogue.RouteKind
import dev.bergamotwind.serving.catalogue.ServedConfiguration
import dev.bergamotwind.serving.catalogue.ServedModel
import dev.bergamotwind.serving.catalogue.ServedRoute
import dev.bergamotwind.serving.catalogue.ServedService
import dev.bergamotwind.serving.catalogue.ServedTeam
import dev.bergamotwind.serving.catalogue.WeightedService
import dev.bergamotwind.serving.targets.TargetLifecycle
import dev.bergamotwind.serving.targets.TargetRecord
import java.net.InetSocketAddress

/** Test data shared by several specs. */
object Samples {
    val plain = ServiceId("orders")
    val engines = ServiceId("engines")
    val domain = FailureDomainId("north-a")
    const val KEY = "key-1"

    fun model(name: String, megabytes: Double = 70_000.0) = ServedModel(
        ModelId(name),
        megabytes,
        50.0,
        storeLoadMillis = 9_000,
        diskLoadMillis = 2_000,
        memoryLoadMillis = 1_200,
    )

    fun profile(vararg names: String, adapterCapacity: Int = 8) = EngineProfile(
        slots = 64,
        cacheTokens = 130_000,
        weightsMegabytes = 150_000.0,
        adapterCapacity = adapterCapacity,
        storeLoadsPerSecond = 1.0,
        models = names.map { model(it) }.associateBy { it.id },
    )

    fun route(
        kind: RouteKind,
        service: ServiceId = plain,
        isResumable: Boolean = false,
        attempts: Int = 2,
        timeoutMillis: Long = 5_000,
        silenceLimitMillis: Long? = null,
    ) = ServedRoute(
        id = RouteId("route"),
        host = "host.example",
        prefix = "/a/",
        kind = kind,
        timeoutMillis = timeoutMillis,
        targetLatencyMillis = 1_000,
        priority = 1,
        services = listOf(WeightedService(service, 1.0)),
        attemptLimit = attempts,
        isOpen = false,
        isResumable = isResumable,
        maxEventGapMillis = 400,
        callerEventTimeoutMillis = silenceLimitMillis,
    )

    fun team(name: String = "team", keys: Set<String> = setOf(KEY), rate: Double = 0.0, burst: Double = 0.0) =
        ServedTeam(TeamId(name), keys, 1, rate, burst, countsTokens = true, plainRequestUnits = 200.0)

    fun configuration(route: ServedRoute, version: Long = 1, teams: List<ServedTeam> = listOf(team())) =
        ServedConfiguration(
            version,
            listOf(route),
            listOf(
                ServedService(plain, "/health", 96, null),
                ServedService(engines, "/health", 360, profile("m1", "m2", "m3")),
            ).associateBy { it.id },
            teams,
            null,
        )

    fun record(
        name: String,
        service: ServiceId = plain,
        models: Map<String, Set<String>> = emptyMap(),
        lifecycle: TargetLifecycle = TargetLifecycle.READY,
        started: Long? = null,
    ) = TargetRecord(
        id = TargetId(name),
        service = service,
        address = InetSocketAddress("127.0.0.1", 9_000),
        failureDomain = domain,
        slots = 6,
        lifecycle = lifecycle,
        startedWallMillis = started,
        coldMillis = 0,
        models = models.entries.associate { (of, adapters) -> ModelId(of) to adapters.map(::AdapterId).toSet() },
        modelsInMemory = emptySet(),
        modelsOnDisk = emptySet(),
    )

    fun call(id: String = "r1", key: String? = KEY, work: ModelRequest? = null, deadlineMillis: Long? = 4_000) = Call(
        id = RequestId(id),
        method = "POST",
        host = "host.example",
        path = "/a/b",
        headers = emptyList(),
        body = ByteArray(0),
        key = key,
        deadlineMillis = deadlineMillis,
        lastEventId = null,
        modelRequest = work,
    )

    fun work(model: String = "m1", adapter: String? = null, prompt: Int = 2_000, parts: List<Long> = emptyList()) =
        ModelRequest(
            ModelId(model),
            adapter?.let(::AdapterId),
            prompt,
            100,
            null,
            parts.map { PromptPart(PromptPartId(it), 100) },
        )

    fun settings(vm: String = "vm-1") = ServingSettings(
        vm = VmId(vm),
        host = "127.0.0.1",
        peerPort = 7_600,
        failureDomain = domain,
        regions = mapOf(domain to RegionId("north")),
        isFirstStart = true,
        retryShare = 0.2,
        retryFixed = 50.0,
        retryWindowMillis = 10_000,
        watchPauseMillis = 0,
        rateToleranceTokens = 0.0,
        leaseMillis = 3_000,
        handOverMillis = 3_200,
        contactMillis = 4_000,
        graceMillis = 8_000,
    )
}
