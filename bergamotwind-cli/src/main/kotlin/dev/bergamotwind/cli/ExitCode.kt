package dev.bergamotwind.cli

/** Exit codes of the command line, in the order of their numbers. */
public enum class ExitCode {
    /** The command did what was asked. */
    DONE,

    /** The change was refused, a file has faults, or the outcome is unknown. */
    FAILED,

    /** The arguments are wrong; nothing was sent. */
    USAGE,

    /** A node that the command needs cannot be reached. */
    UNREACHABLE,
    ;

    /** Status of the process, from 0 to 3. */
    public val code: Int get() = ordinal
}
