package dev.bergamotwind.serving.crash

import dev.bergamotwind.serving.targets.StableHash
import dev.bergamotwind.serving.targets.TargetRecord
import kotlinx.serialization.Serializable

/** Identifies the crash of one start of an engine: a hash of the engine's id and its time of start. */
@Serializable
@JvmInline
internal value class EngineCrashId(val value: Long) {
    override fun toString(): String = value.toULong().toString(HEXADECIMAL)

    companion object {
        private const val HEXADECIMAL = 16

        /** Returns the id of the crash of the engine start that [record] describes. */
        fun of(record: TargetRecord): EngineCrashId {
            val engine = StableHash.hash(record.id.value.hashCode().toLong())
            return EngineCrashId(StableHash.hash(engine xor (record.startedWallMillis ?: 0)))
        }
    }
}
