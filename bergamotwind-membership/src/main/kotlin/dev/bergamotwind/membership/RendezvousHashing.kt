package dev.bergamotwind.membership

import java.nio.ByteBuffer
import java.security.MessageDigest

/** Rendezvous hashing: all nodes compute the same owners, and the loss of a candidate moves only its own keys. */
public object RendezvousHashing {
    /** Returns the [count] candidates that own [key], by descending weight. */
    public fun owners(key: String, candidates: Collection<String>, count: Int): List<String> =
        candidates.map { WeightedCandidate(it, weight(key, it)) }
            .sortedWith(compareByDescending<WeightedCandidate> { it.weight }.thenBy { it.candidate })
            .take(count).map { it.candidate }

    private class WeightedCandidate(val candidate: String, val weight: Long)

    private fun weight(key: String, candidate: String): Long {
        val digest = MessageDigest.getInstance("SHA-256")
        digest.update(key.toByteArray())
        digest.update(0)
        return ByteBuffer.wrap(digest.digest(candidate.toByteArray())).getLong()
    }
}
