/**
 * The interface of a listener, whichever protocol its clients speak.
 *
 * <p>Threads: Event loop, unless a method says otherwise.
 *
 * <p>May depend on: The JDK and Netty only.
 */
package pumicekeel.front;
