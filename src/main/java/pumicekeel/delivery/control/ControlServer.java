package pumicekeel.delivery.control;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInitializer;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.handler.timeout.ReadTimeoutHandler;
import io.netty.handler.timeout.WriteTimeoutHandler;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import pumicekeel.delivery.ConfigurationDocument;
import pumicekeel.delivery.ConfigurationRequest;
import pumicekeel.delivery.ConfigurationVersion;
import pumicekeel.delivery.FileConfigurationStore;
import pumicekeel.delivery.Reply;
import pumicekeel.delivery.client.ConfigurationSubscriber;
import pumicekeel.delivery.wire.DeliveryPaths;
import pumicekeel.delivery.wire.ReplyFormat;
import pumicekeel.runtime.Addresses;
import pumicekeel.runtime.Log;
import pumicekeel.runtime.Reactor;
import pumicekeel.runtime.Retry;

/**
 * HTTP/1.1 server of a control machine: {@code GET} and {@code POST /v1/configuration}, {@code GET /v1/configuration/parts/...}, {@code GET
 * /v1/replicas}. One event loop replies; one thread checks texts and writes files. It subscribes to its peers like any replica.
 */
public final class ControlServer implements Closeable {

  /** About twice the size of the largest known configuration, 3.5 MB. */
  static final int MAX_BODY_BYTES = 8 << 20;

  private static final int MAX_HEADER_BYTES = 8 << 10;
  private static final int MAX_CHUNK_BYTES = 64 << 10;
  /** Time to receive a whole request. */
  private static final int REQUEST_TIMEOUT_SECONDS = 10;
  /** Time for a caller to read a part of a snapshot. */
  private static final int WRITE_TIMEOUT_SECONDS = 30;
  /** Waiting calls, and as many that are being replied to. */
  private static final int MAX_CONNECTIONS = 2 * WaitingCalls.MAX_CALLS;

  /**
   * Settings of a control machine.
   *
   * @param peers the other control machines; may include its own address, which is ignored
   */
  public record Settings(InetSocketAddress listen, Path directory, List<InetSocketAddress> peers) {}

  private final Reactor reactor = Reactor.start();
  private final ExecutorService worker =
      Executors.newSingleThreadExecutor(work -> new Thread(work, "configuration"));
  private final Settings settings;
  private final FileConfigurationStore store;
  private final VersionKeeper keeper;
  private final ControlState state = new ControlState(System.nanoTime());
  private final WaitingCalls waiting = new WaitingCalls(ControlServer::answer);
  private final UploadLimit.Count uploads = new UploadLimit.Count();
  private InetSocketAddress address;
  /** How long transient failures at the start are retried. */
  private static final long START_RETRY_MILLIS = 15_000;

  private ConfigurationSubscriber peers;
  private int connections;

  private ControlServer(Settings settings, FileConfigurationStore store, TextCheck check) {
    this.settings = settings;
    this.store = store;
    keeper = new VersionKeeper(store, check, reactor.clock()::millis, this::versionKept);
  }

  /** Loads the store, listens and subscribes to the peers; the message of an IOException tells why it cannot. */
  public static ControlServer start(Settings settings, TextCheck check)
      throws IOException, InterruptedException {
    FileConfigurationStore store = Retry.call(
        "configuration store",
        START_RETRY_MILLIS,
        () -> FileConfigurationStore.exclusive(settings.directory(), Log::line));
    ControlServer server = new ControlServer(settings, store, check);
    try {
      server.start();
    } catch (IOException e) {
      server.close();
      throw e;
    }
    return server;
  }

  private void start() throws IOException, InterruptedException {
    Retry.call("configuration store", START_RETRY_MILLIS, () -> {
      keeper.load();
      return keeper;
    });
    ChannelFuture bound = new ServerBootstrap()
        .group(reactor.loop())
        .channelFactory(reactor.sockets()::newListeningChannel)
        .childHandler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel channel) {
            accept(channel);
          }
        })
        .bind(settings.listen())
        .await();
    if (!bound.isSuccess()) {
      throw new IOException("cannot listen at " + Addresses.text(settings.listen()), bound.cause());
    }
    address = (InetSocketAddress) bound.channel().localAddress();
    reactor.loop().submit(this::followPeers).sync();
  }

  /** Returns the listen address. */
  public InetSocketAddress address() {
    return address;
  }

  /** Subscribes to the peers, which keep the same versions, to catch up after a downtime. */
  private void followPeers() {
    List<InetSocketAddress> others =
        settings.peers().stream().filter(p -> !p.equals(address)).toList();
    Log.line("control machine at " + Addresses.text(address) + ", version " + state.current() + ", "
        + others.size() + " peers");
    if (!others.isEmpty()) {
      peers = new ConfigurationSubscriber(
          reactor,
          "control " + Addresses.text(address),
          others,
          state.current(),
          System.nanoTime(),
          worker,
          keeper);
      peers.start();
    }
  }

  /** Called on the worker once a version is stored; also for loaded versions, before the server listens. */
  private void versionKept(ConfigurationVersion version, ConfigurationDocument document) {
    reactor.loop().execute(() -> {
      state.advance(version, document);
      Log.line("control machine: version " + version);
      if (peers != null) {
        peers.superseded(version);
      }
      waiting.release(this::handleRequest);
    });
  }

  private void accept(Channel channel) {
    if (connections >= MAX_CONNECTIONS) {
      channel.close();
      return;
    }
    connections++;
    channel.closeFuture().addListener(closed -> connections--);
    channel
        .pipeline()
        .addLast(
            new ReadTimeoutHandler(REQUEST_TIMEOUT_SECONDS),
            new WriteTimeoutHandler(WRITE_TIMEOUT_SECONDS),
            new HttpServerCodec(DeliveryPaths.MAX_TARGET_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES),
            new UploadLimit(uploads),
            new HttpObjectAggregator(MAX_BODY_BYTES, true),
            new ControlHandler(this));
  }

  /** Handles a complete request. */
  void handle(Channel channel, FullHttpRequest request) {
    // The request is complete: from here on the machine may take its time, and the caller only
    // closes.
    channel.pipeline().remove(ReadTimeoutHandler.class);
    QueryStringDecoder query = new QueryStringDecoder(request.uri());
    String path = query.path();
    if (path.equals(DeliveryPaths.CONFIGURATION) && request.method().equals(HttpMethod.POST)) {
      publish(channel, DeliveryPaths.publication(query), request);
    } else if (!request.method().equals(HttpMethod.GET)) {
      send(channel, ReplyFormat.response(HttpResponseStatus.METHOD_NOT_ALLOWED, new byte[0]));
    } else if (path.equals(DeliveryPaths.CONFIGURATION)) {
      handleRequest(channel, DeliveryPaths.request(query));
    } else if (path.startsWith(DeliveryPaths.PARTS)) {
      answer(channel, state.answer(DeliveryPaths.partRequest(query), now()));
    } else if (path.equals(DeliveryPaths.REPLICAS)) {
      json(channel, HttpResponseStatus.OK, StatusJson.of(state.current(), state.replicas(), now()));
    } else {
      send(channel, ReplyFormat.response(HttpResponseStatus.NOT_FOUND, new byte[0]));
    }
  }

  /** Rejects a malformed call and closes the connection. */
  void reject(Channel channel, HttpResponseStatus status, String reason) {
    send(channel, ReplyFormat.response(status, reason.getBytes(StandardCharsets.UTF_8)));
  }

  private void handleRequest(Channel channel, ConfigurationRequest request) {
    Reply reply = state.answer(request, now());
    if (reply == null && !waiting.isFull()) {
      waiting.add(channel, request);
    } else {
      answer(channel, reply == null ? new Reply.Unchanged() : reply);
    }
  }

  private void publish(
      Channel channel, DeliveryPaths.Publication publication, FullHttpRequest request) {
    byte[] body = io.netty.buffer.ByteBufUtil.getBytes(request.content());
    worker.execute(() -> {
      PublishResult result = publishOrFail(publication, body);
      HttpResponseStatus status = HttpResponseStatus.valueOf(result.kind().status());
      reactor.loop().execute(() -> json(channel, status, StatusJson.of(result)));
    });
  }

  /** A check that fails unexpectedly must not leave the writer without a reply. */
  private PublishResult publishOrFail(DeliveryPaths.Publication publication, byte[] body) {
    try {
      return keeper.publish(publication, body);
    } catch (RuntimeException | Error e) {
      Log.line("control machine: the check of a text failed unexpectedly: " + e);
      return keeper.failed("the check of the text broke: " + e);
    }
  }

  private void json(Channel channel, HttpResponseStatus status, byte[] body) {
    FullHttpResponse response = ReplyFormat.response(status, body);
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
    send(channel, response);
  }

  private static void answer(Channel channel, Reply reply) {
    send(channel, ReplyFormat.response(reply));
  }

  private static void send(Channel channel, FullHttpResponse response) {
    channel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
  }

  private long now() {
    return reactor.clock().now();
  }

  /** Stops the machine; all acknowledged versions are stored. */
  @Override
  public void close() throws IOException {
    if (peers != null) {
      peers.close();
    }
    reactor.loop().parent().shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
    worker.shutdown();
    try {
      worker.awaitTermination(REQUEST_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    store.close();
  }
}
