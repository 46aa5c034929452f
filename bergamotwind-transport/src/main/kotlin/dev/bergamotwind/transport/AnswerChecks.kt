package dev.bergamotwind.transport

import io.netty.channel.ChannelPipeline

/** The check of answers that [HttpDialer] makes, for the connections of other clients. */
public object AnswerChecks {
    /**
     * Adds the check to the [pipeline] of a client that speaks HTTP/1.1 without TLS by an
     * [io.netty.handler.codec.http.HttpClientCodec], which the pipeline needs once it is connected. The client may send
     * HEAD requests only on connections that it does not keep.
     */
    public fun addTo(pipeline: ChannelPipeline) {
        pipeline.addFirst(AnswerCheckInstaller())
    }
}
