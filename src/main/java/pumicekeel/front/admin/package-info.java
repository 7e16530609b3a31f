/**
 * The admin endpoint: a listener for operators' calls, one line in and one line out per
 * connection.
 *
 * <p>Threads: Event loop only.
 *
 * <p>May depend on: Netty; whoever answers the calls is passed in.
 */
package pumicekeel.front.admin;
