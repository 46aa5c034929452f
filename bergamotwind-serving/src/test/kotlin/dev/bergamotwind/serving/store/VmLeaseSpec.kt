package dev.bergamotwind.serving.store

import dev.bergamotwind.api.EventRecorder
import dev.bergamotwind.serving.EraReportingStore
import dev.bergamotwind.serving.FakeStore
import dev.bergamotwind.serving.ManualLoop
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import kotlin.random.Random

/** Guards against a VM that believes itself registered under a lease which the store has forgotten or given away. */
class VmLeaseSpec {
    // The other clients are granted the ids that the store had granted in the lost seconds.
    @ParameterizedTest
    @CsvSource(
        "a lease of the lost seconds that nobody has, 0, 0",
        "a lease of the lost seconds that another client has, 0, 3",
        "a lease that the copy knows, 1000, 0",
        "several returns, 0, 1",
    )
    fun `after the store has returned from an older copy the VM registers under a lease of its own`(
        name: String,
        copyAfterMillis: Long,
        otherClients: Int,
    ) {
        val loop = ManualLoop()
        val store = FakeStore(loop)
        store.nameEra()
        val client = EraReportingStore(store)
        val lease = VmLease(client, loop, TIME_TO_LIVE_MILLIS, Random(1), EventRecorder.None)
        val eras = StoreEraTracker(EventRecorder.None)
        client.onEra = eras::accept
        eras.addListener(lease::onNewEra)
        lease.onGranted = { client.write(StoreWrite(puts = listOf(StorePut("vm", byteArrayOf(1), it)))) {} }
        val early = store.copy()
        lease.start()
        loop.advance(1_000)
        val copy = if (copyAfterMillis > 0) store.copy() else early
        loop.advance(500)
        repeat(if (name == "several returns") 4 else 1) {
            store.restore(copy)
            repeat(otherClients) { store.grantLease(60_000) {} }
            loop.advance(1_500)
        }
        loop.advance(10_000)
        val entry = store.items["vm"]
        assertEquals(lease.id, entry?.lease, name)
        assertTrue(lease.isValid)
        val calls = store.calls
        loop.advance(10_000)
        assertTrue(store.calls - calls in 10..16) { "${store.calls - calls} renewals in 10 s" }
        lease.release {}
        loop.advance(100)
        assertEquals(null, store.items["vm"])
    }

    private companion object {
        const val TIME_TO_LIVE_MILLIS = 2_000L
    }
}
