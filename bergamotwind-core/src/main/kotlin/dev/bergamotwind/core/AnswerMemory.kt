package dev.bergamotwind.core

/**
 * Bounds the bytes that a process keeps for answers, over all of them together. When they exceed the limit, the answer
 * that keeps most is given up: it is the likeliest to have no end, and the small ones go on. Safe for use by several
 * threads.
 */
public class AnswerMemory(private val limitBytes: Long) {
    // In the order in which they began, so that of equal ones the oldest is given up.
    private val shares = LinkedHashSet<Share>()

    /** Bytes that all answers keep now. */
    @get:Synchronized
    public var usedBytes: Long = 0L
        private set

    /** Returns the share of one answer, which keeps nothing yet. [giveUp] drops what the answer keeps. */
    public fun share(giveUp: () -> Unit): Share = Share(giveUp)

    @Synchronized
    private fun record(share: Share, bytes: Long) {
        if (share.isGivenUp) return
        usedBytes += bytes - share.bytes
        share.bytes = bytes
        if (bytes > 0) shares += share else shares -= share
    }

    @Synchronized
    private fun takeLargest(): Share? {
        if (usedBytes <= limitBytes) return null
        return shares.maxByOrNull { it.bytes }?.also {
            record(it, 0)
            it.isGivenUp = true
        }
    }

    /** What one answer keeps. */
    public inner class Share internal constructor(private val giveUp: () -> Unit) {
        internal var bytes = 0L
        internal var isGivenUp = false

        /** States that the answer keeps [bytes] from now on; may give up this answer or others before it returns. */
        public fun resize(bytes: Long) {
            record(this, bytes)
            while (true) (takeLargest() ?: return).giveUp()
        }

        /** States that the answer keeps nothing any more. */
        public fun release(): Unit = resize(0)
    }

    /** Limits that follow from the process. */
    public companion object {
        /** Part of the heap that answers may take; requests and the copies made to pass answers on need the rest. */
        private const val HEAP_PART = 4

        /** Returns a limit for the heap of this process. */
        public fun ofHeap(): AnswerMemory = AnswerMemory(Runtime.getRuntime().maxMemory() / HEAP_PART)
    }
}
