/**
 * The command line: one class per command, exit codes and their help texts. {@code Main} is the
 * entry point of the jar.
 *
 * <p>Threads: Commands run on the main thread; those that serve hand over to the event loop.
 *
 * <p>May depend on: Any package; nothing depends on it except the tools that start whole
 * processes.
 */
package pumicekeel.cli;
