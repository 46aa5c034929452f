package dev.bergamotwind.test

import com.linecorp.armeria.common.AggregatedHttpRequest
import java.util.concurrent.ConcurrentLinkedDeque

/** Keeps the most recent requests that a fake target received. */
public class RequestRecorder {
    private val requests = ConcurrentLinkedDeque<RecordedRequest>()

    /** Records [request]. */
    public fun record(request: AggregatedHttpRequest) {
        val headers = request.headers().map { "${it.key}: ${it.value}" }
        requests.addLast(RecordedRequest(request.path(), headers, request.contentUtf8()))
        if (requests.size > LIMIT) requests.pollFirst()
    }

    /** Returns the recorded requests, oldest first. */
    public fun recentRequests(): List<RecordedRequest> = requests.toList()

    private companion object {
        const val LIMIT = 10_000
    }
}
