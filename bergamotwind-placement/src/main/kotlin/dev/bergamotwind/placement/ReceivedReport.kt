package dev.bergamotwind.placement

import dev.bergamotwind.api.EngineReport

/** A report and the time at which it was read, by the reader's monotonic clock. */
internal data class ReceivedReport(val report: EngineReport, val receivedNanos: Long)
