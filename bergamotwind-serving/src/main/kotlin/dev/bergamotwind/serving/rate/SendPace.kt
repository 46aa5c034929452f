package dev.bergamotwind.serving.rate

import kotlin.math.exp

/**
 * Bounds how fast this VM draws on a rate that all VMs share. It always has its equal part. It grows gradually into
 * what the others leave, because VMs that all begin to send would otherwise each use the whole rate until they hear of
 * each other; when it asks for less, it returns to its part in the same way. Used by one thread.
 */
internal class SendPace {
    private var ratePerSecond = 0.0
    private var peerUnits = 0.0
    private var updatedMillis: Long? = null
    private var wantedMillis: Long? = null

    /** Units that this VM may use now. */
    var level = 0.0
        private set

    /** Refills up to [capacity]. The equal part is [equalRate], and [knownRate] that of all VMs that are heard from. */
    fun refill(nowMillis: Long, equalRate: Double, knownRate: Double, capacity: Double) {
        val since = nowMillis - (updatedMillis ?: nowMillis)
        val wanted = wantedMillis?.let { (it + TIME_CONSTANT_MILLIS - (nowMillis - since)).coerceIn(0, since) } ?: 0
        updatedMillis = nowMillis
        peerUnits *= exp(-since / TIME_CONSTANT_MILLIS.toDouble())
        val peerRate = peerUnits * MILLIS_PER_SECOND / TIME_CONSTANT_MILLIS
        ratePerSecond = (ratePerSecond * exp((wanted * 2 - since) / TIME_CONSTANT_MILLIS.toDouble()))
            .coerceIn(equalRate, maxOf(equalRate, knownRate - peerRate))
        level = (level + since * ratePerSecond * RATE_MARGIN / MILLIS_PER_SECOND).coerceAtMost(capacity)
    }

    /** Records that a unit is asked for. */
    fun recordWanted(nowMillis: Long) {
        wantedMillis = nowMillis
    }

    /** Records that other VMs have used [units]. */
    fun recordPeerUse(units: Double) {
        peerUnits = (peerUnits + units).coerceAtLeast(0.0)
    }

    /** Takes one unit. */
    fun take() {
        level -= 1
    }

    /** Returns a unit that was not used. */
    fun refund() {
        level += 1
    }

    /** Milliseconds until a unit may be available. */
    fun millisUntilAvailable(): Long = ((1 - level) * MILLIS_PER_SECOND / ratePerSecond).toLong()

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0

        /**
         * Milliseconds in which the pace grows or shrinks by a factor of e, and over which the use of the others is
         * averaged: two of the longest intervals between heartbeats, so that they are heard before it has grown much.
         */
        const val TIME_CONSTANT_MILLIS = 2_000L
    }
}
