package dev.bergamotwind.test

import com.github.ajalt.clikt.core.NoOpCliktCommand

/** Root command of the fake platform, engine and service, and of the test clients. */
public class TestCommand : NoOpCliktCommand(name = "bergamotwind-test")
