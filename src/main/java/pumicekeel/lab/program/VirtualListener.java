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
  private static final int MAX_BACKLOG = 1_024;

  private final VirtualNetwork network;
  private final VirtualChannelConfig config;
  private final ArrayDeque<VirtualConnection.Endpoint> backlog = new ArrayDeque<>();
  private InetSocketAddress address;
  private boolean open = true;
  private boolean readRequested;

  VirtualListener(VirtualNetwork network) {
    this.network = network;
    config = new VirtualChannelConfig(this, network.allocator(), () -> readRequested = false);
  }

  @Override
  public void accepted(VirtualConnection.Endpoint endpoint) {
    if (backlog.size() >= MAX_BACKLOG) {
      endpoint.abort();
      return;
    }
    backlog.add(endpoint);
    accept();
  }

  /** Accepts up to this many connections of the backlog, resets the others and closes the listener. */
  void drainBacklogAndClose(int maxConnections) {
    while (backlog.size() > maxConnections) {
      backlog.pollLast().abort();
    }
    readRequested = true;
    accept();
    close();
  }

  private void accept() {
    boolean accepted = false;
    while (readRequested && open && !backlog.isEmpty()) {
      accepted = true;
      pipeline().fireChannelRead(new VirtualSocket(network, this, backlog.poll()));
    }
    if (accepted) {
      pipeline().fireChannelReadComplete();
    }
  }

  @Override
  protected void doBeginRead() {
    readRequested = true;
    eventLoop().execute(this::accept);
  }

  @Override
  protected void doBind(SocketAddress localAddress) throws IOException {
    address = network.listen(((InetSocketAddress) localAddress).getPort(), this);
  }

  @Override
  protected void doClose() {
    open = false;
    if (address != null) {
      network.stopListening(address, this);
    }
    List.copyOf(backlog).forEach(VirtualConnection.Endpoint::abort);
    backlog.clear();
  }

  @Override
  protected boolean isCompatible(EventLoop loop) {
    return loop instanceof VirtualLoop;
  }

  @Override
  protected ChannelId newId() {
    return VirtualChannelId.ZERO;
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
