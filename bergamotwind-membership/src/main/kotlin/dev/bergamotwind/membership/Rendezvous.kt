package dev.bergamotwind.membership

import java.nio.ByteBuffer
import java.security.MessageDigest

/** Rendezvous hashing: every node computes the same owners, and a lost candidate moves only what it owned. */
public object Rendezvous {
    /** Returns the [count] candidates that own [key], the first owner first. */
    public fun owners(key: String, candidates: Collection<String>, count: Int): List<String> =
        candidates.map { Weighted(it, weight(key, it)) }
            .sortedWith(compareByDescending<Weighted> { it.weight }.thenBy { it.candidate })
            .take(count).map { it.candidate }

    private class Weighted(val candidate: String, val weight: Long)

    private fun weight(key: String, candidate: String): Long {
        val digest = MessageDigest.getInstance("SHA-256")
        digest.update(key.toByteArray())
        digest.update(0)
        return ByteBuffer.wrap(digest.digest(candidate.toByteArray())).getLong()
    }
}
