package dev.bergamotwind.core

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.bergamotwind.api.Clock
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.SystemClock
import io.github.oshai.kotlinlogging.KotlinLogging
import org.jctools.queues.MpscArrayQueue
import java.util.concurrent.locks.LockSupport
import kotlin.time.Duration

private val logger = KotlinLogging.logger {}

/**
 * One thread that alone changes the state of its [handler], fed through a bounded ring. A full ring refuses the
 * message instead of growing.
 */
public class Duty<M : Any>(
    private val name: String,
    private val handler: DutyHandler<M>,
    private val tickInterval: Duration = DEFAULT_TICK_INTERVAL,
    capacity: Int = DEFAULT_RING_CAPACITY,
    private val clock: Clock = SystemClock,
) : AutoCloseable {
    private val ring = MpscArrayQueue<M>(capacity)
    private val thread = Thread(::run, "duty-$name").apply { isDaemon = true }

    @Volatile
    private var running = true

    @Volatile
    private var parked = false

    /** Starts the thread and returns this duty. */
    public fun start(): Duty<M> = apply { thread.start() }

    /** Hands [message] to the duty, or fails with [Failure.Overloaded] when its ring is full or it has stopped. */
    public fun send(message: M): Either<Failure, Unit> {
        if (!running || !ring.offer(message)) return Failure.Overloaded("the ring of duty $name is full").left()
        if (parked) LockSupport.unpark(thread)
        return Unit.right()
    }

    /** Number of messages that wait in the ring. */
    public fun backlog(): Int = ring.size

    /** Handles the messages already in the ring, then ends the thread. */
    override fun close() {
        running = false
        LockSupport.unpark(thread)
        if (Thread.currentThread() !== thread) thread.join()
    }

    private fun run() {
        var nextTick = clock.monotonicNanos() + tickInterval.inWholeNanoseconds
        while (running || !ring.isEmpty) {
            val message = ring.poll()
            if (message != null) guard { handler.handle(message) }
            val now = clock.monotonicNanos()
            if (now >= nextTick) {
                guard { handler.tick(now) }
                nextTick = now + tickInterval.inWholeNanoseconds
            }
            if (message == null) park(nextTick - now)
        }
    }

    private fun park(nanos: Long) {
        parked = true
        // A message offered before the flag was set would otherwise wait until the next tick.
        if (ring.isEmpty && running) LockSupport.parkNanos(nanos)
        parked = false
    }

    // A duty outlives a failing message: its state belongs to many requests.
    @Suppress("TooGenericExceptionCaught")
    private fun guard(work: () -> Unit) {
        try {
            work()
        } catch (failure: Exception) {
            logger.error(failure) { "event=duty.failed duty=$name error=\"${failure.message}\"" }
        }
    }
}
