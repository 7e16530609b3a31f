package pumicekeel.lab.program;

import io.netty.channel.AbstractServerChannel;
import io.netty.channel.ChannelConfig;
import io.netty.channel.ChannelId;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.List;

/** A listening socket of the program; connections that it has not accepted wait in the backlog and are reset when it closes. */
final class VirtualListener extends AbstractServerChannel implements VirtualNetwork.Acceptor {

  /** Size of the backlog, as in a kernel; connections beyond it are reset. */
  private static final int BACKLOG = 1_024;

  private final VirtualNetwork network;
  private final VirtualConfig config;
  private final ArrayDeque<Line.End> waiting = new ArrayDeque<>();
  private InetSocketAddress address;
  private boolean open = true;
  private boolean reads;

  VirtualListener(VirtualNetwork network) {
    this.network = network;
    config = new VirtualConfig(this, network.allocator(), () -> reads = false);
  }

  @Override
  public void accepted(Line.End end) {
    if (waiting.size() >= BACKLOG) {
      end.abort();
      return;
    }
    waiting.add(end);
    accept();
  }

  /** Accepts up to this many connections of the backlog, resets the others and closes the listener. */
  void closeBehindLine(int most) {
    while (waiting.size() > most) {
      waiting.pollLast().abort();
    }
    reads = true;
    accept();
    close();
  }

  private void accept() {
    boolean any = false;
    while (reads && open && !waiting.isEmpty()) {
      any = true;
      pipeline().fireChannelRead(new VirtualSocket(network, this, waiting.poll()));
    }
    if (any) {
      pipeline().fireChannelReadComplete();
    }
  }

  @Override
  protected void doBeginRead() {
    reads = true;
    eventLoop().execute(this::accept);
  }

  @Override
  protected void doBind(SocketAddress at) throws IOException {
    address = network.listen(((InetSocketAddress) at).getPort(), this);
  }

  @Override
  protected void doClose() {
    open = false;
    if (address != null) {
      network.unlisten(address, this);
    }
    List.copyOf(waiting).forEach(Line.End::abort);
    waiting.clear();
  }

  @Override
  protected boolean isCompatible(EventLoop loop) {
    return loop instanceof VirtualLoop;
  }

  @Override
  protected ChannelId newId() {
    return VirtualId.ZERO;
  }

  @Override
  protected SocketAddress localAddress0() {
    return address;
  }

  @Override
  public ChannelConfig config() {
    return config;
  }

  @Override
  public boolean isOpen() {
    return open;
  }

  @Override
  public boolean isActive() {
    return open && address != null;
  }
}
