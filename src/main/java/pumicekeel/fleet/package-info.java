/**
 * The daemon that runs several instances of the balancer on one machine: start, restart with
 * back-off, rolling restart, reload and stop. {@code Supervisor} decides and does no I/O.
 *
 * <p>Threads: The daemon has a thread for its decisions and threads that query instances and
 * accept commands. It serves no requests.
 *
 * <p>May depend on: {@code config}, for addresses and limits, and {@code jsonrpc} for its JSON
 * text; the instances are separate processes.
 */
package pumicekeel.fleet;
