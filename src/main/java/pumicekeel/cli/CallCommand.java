package pumicekeel.cli;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import pumicekeel.jsonrpc.Framing;
import pumicekeel.jsonrpc.Id;
import pumicekeel.jsonrpc.Limits;
import pumicekeel.jsonrpc.Message;
import pumicekeel.jsonrpc.MessageReader;
import pumicekeel.jsonrpc.MessageWriter;
import pumicekeel.runtime.Addresses;
import pumicekeel.standin.StandInRpcClient;

/** One call, or one batch, as a partner's application would make it. */
@Command(
    name = "call",
    mixinStandardHelpOptions = true,
    description = "Make a JSON-RPC call over TCP and print what is answered, a message a line.",
    footer = {
      "Exit status: 0 where every answer is a result, 1 where one is an error object or none came in time, 2 for a"
          + " wrong command line or an address that nobody listens at."
    })
final class CallCommand implements Callable<Integer> {

  private static final Limits LIMITS = new Limits(4 << 20, Limits.MAX_DEPTH, 10_000);
  private static final long MOST_FILE = 4 << 20;

  @Parameters(index = "0", paramLabel = "ADDRESS", description = "HOST:PORT, by number.")
  private String address;

  @Parameters(
      index = "1",
      arity = "0..1",
      paramLabel = "METHOD",
      description = "The method's name.")
  private String method;

  @Parameters(
      index = "2",
      arity = "0..1",
      paramLabel = "PARAMS",
      description = "A JSON object or array.")
  private String params;

  @Option(
      names = "--batch",
      paramLabel = "FILE",
      description = "Send this file instead: one JSON-RPC message.")
  private Path batch;

  @Option(names = "--notify", description = "Send a notification, and wait for nothing.")
  private boolean notify;

  @Option(
      names = "--framing",
      paramLabel = "NAME",
      defaultValue = "newline",
      description = "newline or content-length. Default: ${DEFAULT-VALUE}.")
  private String framing;

  @Option(
      names = "--timeout-ms",
      paramLabel = "N",
      defaultValue = "10000",
      description = "How long to wait, 1 to 600000. Default: ${DEFAULT-VALUE}.")
  private long timeoutMillis;

  @Spec
  private CommandSpec spec;

  @Override
  public Integer call() throws Exception {
    Framing by = framing.equals("newline")
        ? Framing.NEWLINE
        : framing.equals("content-length") ? Framing.CONTENT_LENGTH : null;
    if (by == null
        || timeoutMillis < 1
        || timeoutMillis > 600_000
        || (method == null) == (batch == null)) {
      throw usage(
          "expected METHOD or --batch FILE, --framing newline or content-length, --timeout-ms 1 to 600000");
    }
    byte[] message = message();
    int wanted = owed(message);
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    try (StandInRpcClient client = connect(group, by)) {
      client.send(new String(message, StandardCharsets.UTF_8));
      client.halfClose();
      return read(client, wanted);
    } finally {
      group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }
  }

  private ParameterException usage(String what) {
    return new ParameterException(spec.commandLine(), what);
  }

  private byte[] message() throws IOException {
    if (batch != null) {
      if (!Files.isRegularFile(batch) || Files.size(batch) > MOST_FILE) {
        throw usage("--batch: expected a file of at most " + MOST_FILE + " bytes, got " + batch);
      }
      // A line is a message: JSON's own line breaks are white space.
      return Files.readString(batch).replaceAll("[\r\n]+", " ").getBytes(StandardCharsets.UTF_8);
    }
    byte[] raw = params == null ? null : params.getBytes(StandardCharsets.UTF_8);
    byte[] call = MessageWriter.call(Id.of(1), method, raw);
    if (!notify) {
      return call;
    }
    // A notification is a call without its id.
    String text = new String(call, StandardCharsets.UTF_8);
    return (text.substring(0, text.lastIndexOf(",\"id\":")) + "}").getBytes(StandardCharsets.UTF_8);
  }

  /** How many answers the message is owed; one that is no message is sent all the same, and owed one. */
  private int owed(byte[] message) {
    Message read = new MessageReader(LIMITS).read(message);
    if (batch == null
        && !(read instanceof Message.Single one && one.entry() instanceof Message.Call)) {
      throw usage("PARAMS: expected a JSON object or array");
    }
    if (read instanceof Message.Batch many) {
      return (int) many.entries().stream()
          .filter(e -> !(e instanceof Message.Call c && c.id() == null))
          .count();
    }
    return read instanceof Message.Single one
            && one.entry() instanceof Message.Call c
            && c.id() == null
        ? 0
        : 1;
  }

  private StandInRpcClient connect(EventLoopGroup group, Framing by) throws InterruptedException {
    InetSocketAddress at;
    try {
      at = Addresses.parse("ADDRESS", address);
    } catch (IllegalArgumentException e) {
      throw usage("ADDRESS: expected HOST:PORT by number, got " + address);
    }
    try {
      return new StandInRpcClient(at, group, by);
    } catch (InterruptedException e) {
      throw e;
    } catch (Exception e) {
      throw usage("ADDRESS: nobody listens at " + address);
    }
  }

  private int read(StandInRpcClient client, int wanted) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
    MessageReader reader = new MessageReader(LIMITS);
    boolean good = true;
    int got = 0;
    while (got < wanted) {
      String text =
          client.next(Math.max(0, TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime())));
      if (text == null) {
        spec.commandLine().getErr().println(wanted - got + " answers did not come");
        return 1;
      }
      spec.commandLine().getOut().println(text);
      Message message = reader.read(text.getBytes(StandardCharsets.UTF_8));
      java.util.List<Message.Entry> entries = message instanceof Message.Batch b
          ? b.entries()
          : message instanceof Message.Single one
              ? java.util.List.of(one.entry())
              : java.util.List.of();
      got += Math.max(1, entries.size());
      good &= !entries.isEmpty()
          && entries.stream().allMatch(e -> e instanceof Message.Reply r && r.result() != null);
    }
    return good ? 0 : 1;
  }
}
