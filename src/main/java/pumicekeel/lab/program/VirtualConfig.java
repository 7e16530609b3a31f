package pumicekeel.lab.program;

import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.DefaultChannelConfig;

/** The settings of a channel in virtual time: those of TCP itself are taken and mean nothing. */
final class VirtualConfig extends DefaultChannelConfig {

  private final Runnable readsNoMore;
  private boolean allowsHalfClosure;

  VirtualConfig(Channel channel, ByteBufAllocator allocator, Runnable readsNoMore) {
    super(channel);
    this.readsNoMore = readsNoMore;
    setAllocator(allocator);
  }

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
    if (readsNoMore != null) {
      readsNoMore.run();
    }
  }
}
