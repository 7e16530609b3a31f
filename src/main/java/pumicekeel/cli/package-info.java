/**
 * The command line: one class per command, with its help text and exit statuses. {@code Main} is the
 * entry point of the jar.
 *
 * <p>Threads: Commands run on the main thread; those that serve leave the work to the event loops.
 *
 * <p>May depend on: Any package; nothing depends on it except the tools that start whole
 * processes.
 */
package pumicekeel.cli;
