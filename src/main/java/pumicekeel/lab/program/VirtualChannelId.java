package pumicekeel.lab.program;

import io.netty.channel.ChannelId;

/** Channel ID by order of creation; the default IDs of Netty differ from run to run. */
record VirtualChannelId(long number) implements ChannelId {

  private static final long serialVersionUID = 1L;
  /** The ID of all listeners. */
  static final VirtualChannelId ZERO = new VirtualChannelId(0);

  @Override
  public String asShortText() {
    return Long.toString(number);
  }

  @Override
  public String asLongText() {
    return asShortText();
  }

  @Override
  public int compareTo(ChannelId other) {
    return Long.compare(number, ((VirtualChannelId) other).number);
  }
}
