package dev.bergamotwind.placement

import dev.bergamotwind.api.EngineReport

/** A report and when it was read, on the reader's monotonic clock. */
internal data class ReceivedReport(val report: EngineReport, val receivedNanos: Long)
