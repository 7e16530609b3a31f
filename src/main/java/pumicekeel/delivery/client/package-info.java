/** Clients of control machines: a subscriber on an event loop, which applies versions on a thread that may block, and blocking calls for commands. */
package pumicekeel.delivery.client;
