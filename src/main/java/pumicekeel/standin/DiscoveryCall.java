package pumicekeel.standin;

import io.netty.channel.Channel;

/** A call to the stand-in discovery: its connection, the caller's Host header, and how it is handled. */
record DiscoveryCall(Channel channel, String caller, CallHandling handling) {}
