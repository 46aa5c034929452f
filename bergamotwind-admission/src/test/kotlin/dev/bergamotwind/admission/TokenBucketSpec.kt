package dev.bergamotwind.admission

import dev.bergamotwind.api.TeamId
import dev.bergamotwind.test.ThrowingInvariantMonitor
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test
import java.util.Random

/** Guards against a bucket that lets a time window exceed capacity + rate * time, especially through refunds. */
class TokenBucketSpec {
    private val bucket = TokenBucket(0, RateInvariantChecker(TeamId("oak"), ThrowingInvariantMonitor))

    @Test
    fun `starts empty and fills at its rate up to its capacity`() {
        bucket.resize(100.0, 10.0, 0)
        assertNull(bucket.reserve(1, 0))
        assertNotNull(bucket.reserve(10, seconds(1.0)))
        assertNull(bucket.reserve(101, seconds(60.0)))
        assertNotNull(bucket.reserve(100, seconds(60.0)))
    }

    @Test
    fun `does not refund tokens that a full bucket has discarded`() {
        bucket.resize(100.0, 10.0, 0)
        val first = bucket.reserve(100, seconds(10.0))!!
        assertNotNull(bucket.reserve(100, seconds(20.0)))
        assertEquals(0.0, bucket.settle(first, 10, seconds(20.0)))
    }

    @Test
    fun `bounds several refunds together by the headroom since their reservations`() {
        bucket.resize(100.0, 10.0, 0)
        val first = bucket.reserve(50, seconds(10.0))!!
        val second = bucket.reserve(50, seconds(10.0))!!
        assertNotNull(bucket.reserve(60, seconds(16.0)))
        assertEquals(40.0, bucket.settle(first, 0, seconds(16.0)))
        assertEquals(0.0, bucket.settle(second, 0, seconds(16.0)))
        assertEquals(0.0, bucket.settle(second, 0, seconds(16.0)))
    }

    @Test
    fun `repays debt from use above the estimate before it admits more`() {
        bucket.resize(100.0, 10.0, 0)
        val reservation = bucket.reserve(50, seconds(10.0))!!
        bucket.settle(reservation, 150, seconds(10.0))
        assertEquals(-50.0, bucket.level)
        assertNull(bucket.reserve(1, seconds(15.0)))
    }

    @Test
    fun `keeps every time window within capacity and rate under random use`() {
        val random = Random(SEED)
        repeat(20) {
            val bucket = TokenBucket(0, RateInvariantChecker(TeamId("oak"), ThrowingInvariantMonitor))
            bucket.resize(100.0, 10.0, 0)
            val usage = RateWindowCheck()
            val open = ArrayList<Pair<TokenReservation, Int>>()
            var now = 0L
            repeat(STEPS) {
                now += (random.nextDouble() * random.nextInt(1, 4_000) * 1e6).toLong()
                if (open.isNotEmpty() && random.nextInt(3) == 0) {
                    val (reservation, index) = open.removeAt(random.nextInt(open.size))
                    val actual = random.nextInt(reservation.tokens.toInt() + 1)
                    bucket.settle(reservation, actual.toLong(), now)
                    usage.settle(index, actual)
                } else {
                    val tokens = random.nextInt(1, 101)
                    bucket.reserve(tokens.toLong(), now)?.let { open += it to usage.recordAdmission(now, tokens) }
                }
            }
            usage.check(100.0, 10.0)
        }
    }

    private fun seconds(value: Double) = (value * 1e9).toLong()
}
