package dev.bergamotwind.test

import com.github.ajalt.clikt.core.NoOpCliktCommand

/** Root command of the stand-ins for outside systems. */
public class TestCommand : NoOpCliktCommand(name = "bergamotwind-test")
