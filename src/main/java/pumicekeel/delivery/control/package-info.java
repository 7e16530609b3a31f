/**
 * A control machine: keeps the versions that a writer publishes and hands them to subscribers. {@code ControlState} decides without I/O or
 * clock; {@code ControlServer} puts it on HTTP/1.1, one event loop and one thread that checks texts and writes files.
 */
package pumicekeel.delivery.control;
