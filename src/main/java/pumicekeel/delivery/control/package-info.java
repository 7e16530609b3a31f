/**
 * A control machine: stores the versions that a writer publishes and serves them to subscribers. {@code ControlState} decides without I/O or
 * clock; {@code ControlServer} serves it over HTTP/1.1 with one event loop and one thread that checks texts and writes files.
 */
package pumicekeel.delivery.control;
