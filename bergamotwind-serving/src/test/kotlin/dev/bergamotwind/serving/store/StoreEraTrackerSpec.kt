package dev.bergamotwind.serving.store

import dev.bergamotwind.api.EventRecorder
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

/** Guards against a return of the store that is overlooked, and one that did not happen. */
class StoreEraTrackerSpec {
    // A minus stands for an answer without an era.
    @ParameterizedTest
    @CsvSource(
        "the first one, 7, 7, 0, 0",
        "none at all, - - -, 0, 0, 0",
        "the same, 7 7 7, 7, 0, 0",
        "the next one, 7 8 8, 8, 1, 0",
        "a jump, 7 12, 12, 1, 0",
        "an answer of an earlier era, 7 8 7 8, 8, 1, 1",
        "answers that alternate, 7 8 7 8 7 8 7 8, 8, 1, 3",
        "some without, 7 - 8 - 7 -, 8, 1, 1",
        "named later, - - 7 8, 8, 1, 0",
    )
    fun `each return is told once, and earlier answers are not used`(
        name: String,
        eras: String,
        current: Long,
        changes: Int,
        rejected: Int,
    ) {
        val tracker = StoreEraTracker(EventRecorder.None)
        var told = 0
        tracker.addListener { error("a listener that fails keeps no other from being told") }
        tracker.addListener { told++ }
        val accepted = eras.split(' ').map { tracker.accept(it.toLongOrNull()?.let(::StoreEra)) }
        assertEquals(current to changes, tracker.current.number to told, name)
        assertEquals(changes > 0, tracker.hasChanged)
        assertEquals(rejected, accepted.count { !it })
    }
}
