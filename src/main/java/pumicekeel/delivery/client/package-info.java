/** A subscriber on sockets: calls to control machines on an event loop, versions taken on a thread that may block. */
package pumicekeel.delivery.client;
