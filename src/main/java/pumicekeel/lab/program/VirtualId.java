package pumicekeel.lab.program;

import io.netty.channel.ChannelId;

/** Channel ID by order of creation; the default IDs of Netty differ from run to run. */
record VirtualId(long number) implements ChannelId {

  private static final long serialVersionUID = 1L;
  static final VirtualId ZERO = new VirtualId(0);

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
    return Long.compare(number, ((VirtualId) other).number);
  }
}
