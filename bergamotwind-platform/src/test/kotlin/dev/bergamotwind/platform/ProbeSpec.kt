package dev.bergamotwind.platform

import org.junit.jupiter.api.Test

class ProbeSpec {
    @Test
    fun `runs`() {
        check(Probe.toString().isNotEmpty())
    }
}
