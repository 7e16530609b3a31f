package pumicekeel.lab.program;

import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.DefaultChannelConfig;

/** Configuration of a channel in virtual time; options of TCP itself are accepted and have no effect. */
final class VirtualChannelConfig extends DefaultChannelConfig {

  private final Runnable onAutoReadCleared;
  private boolean allowsHalfClosure;

  /** Creates a configuration; {@code onAutoReadCleared} runs when automatic reading is switched off and may be null. */
  VirtualChannelConfig(Channel channel, ByteBufAllocator allocator, Runnable onAutoReadCleared) {
    super(channel);
    this.onAutoReadCleared = onAutoReadCleared;
    setAllocator(allocator);
  }

  /** Returns whether the channel stays open after the peer has ended its output. */
  boolean allowsHalfClosure() {
    return allowsHalfClosure;
  }

  @Override
  public <T> boolean setOption(ChannelOption<T> option, T value) {
    if (option == ChannelOption.ALLOW_HALF_CLOSURE) {
      allowsHalfClosure = (Boolean) value;
      return true;
    }
    super.setOption(option, value);
    return true;
  }

  @Override
  protected void autoReadCleared() {
    if (onAutoReadCleared != null) {
      onAutoReadCleared.run();
    }
  }
}
