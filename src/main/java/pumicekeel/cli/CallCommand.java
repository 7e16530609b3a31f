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

/** Makes one JSON-RPC call, or sends one batch, as a client application does. */
@Command(
    name = "call",
    mixinStandardHelpOptions = true,
    description = "Make a JSON-RPC call over TCP and print the answers, one message per line.",
    footer = {
      "Exit status: 0 if every answer is a result, 1 if one is an error object or did not arrive in time, 2 for a"
          + " wrong command line or an address where nothing listens."
    })
final class CallCommand implements Callable<Integer> {

  private static final Limits LIMITS = new Limits(4 << 20, Limits.MAX_DEPTH, 10_000);
  private static final long MAX_BATCH_FILE_BYTES = 4 << 20;

  @Parameters(
      index = "0",
      paramLabel = "ADDRESS",
      description = "The server, HOST:PORT with a numeric host.")
  private String address;

  @Parameters(index = "1", arity = "0..1", paramLabel = "METHOD", description = "The method name.")
  private String method;

  @Parameters(
      index = "2",
      arity = "0..1",
      paramLabel = "PARAMS",
      description = "The parameters, a JSON object or array.")
  private String params;

  @Option(
      names = "--batch",
      paramLabel = "FILE",
      description = "Send the contents of this file instead: one JSON-RPC message.")
  private Path batch;

  @Option(names = "--notify", description = "Send a notification and wait for no answer.")
  private boolean notify;

  @Option(
      names = "--framing",
      paramLabel = "NAME",
      defaultValue = "newline",
      description = "Message framing, newline or content-length. Default: ${DEFAULT-VALUE}.")
  private String framing;

  @Option(
      names = "--timeout-ms",
      paramLabel = "N",
      defaultValue = "10000",
      description = "How long to wait for the answers, 1 to 600000. Default: ${DEFAULT-VALUE}.")
  private long timeoutMillis;

  @Spec
  private CommandSpec spec;

  @Override
  public Integer call() throws Exception {
    Framing selectedFraming = framing.equals("newline")
        ? Framing.NEWLINE
        : framing.equals("content-length") ? Framing.CONTENT_LENGTH : null;
    if (selectedFraming == null
        || timeoutMillis < 1
        || timeoutMillis > 600_000
        || (method == null) == (batch == null)) {
      throw usageError(
          "expected METHOD or --batch FILE, --framing newline or content-length, --timeout-ms 1 to 600000");
    }
    byte[] message = message();
    int expected = expectedAnswers(message);
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    try (StandInRpcClient client = connect(group, selectedFraming)) {
      client.send(new String(message, StandardCharsets.UTF_8));
      client.halfClose();
      return readAnswers(client, expected);
    } finally {
      group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }
  }

  private ParameterException usageError(String message) {
    return new ParameterException(spec.commandLine(), message);
  }

  private byte[] message() throws IOException {
    if (batch != null) {
      if (!Files.isRegularFile(batch) || Files.size(batch) > MAX_BATCH_FILE_BYTES) {
        throw usageError(
            "--batch: expected a file of at most " + MAX_BATCH_FILE_BYTES + " bytes, got " + batch);
      }
      // With newline framing a message is one line; line breaks between JSON tokens have no
      // meaning.
      return Files.readString(batch).replaceAll("[\r\n]+", " ").getBytes(StandardCharsets.UTF_8);
    }
    byte[] raw = params == null ? null : params.getBytes(StandardCharsets.UTF_8);
    byte[] call = MessageWriter.call(Id.of(1), method, raw);
    if (!notify) {
      return call;
    }
    // A notification is a call without an ID.
    String text = new String(call, StandardCharsets.UTF_8);
    return (text.substring(0, text.lastIndexOf(",\"id\":")) + "}").getBytes(StandardCharsets.UTF_8);
  }

  /** Returns how many answers to expect; content that is not a valid message is sent all the same and gets one. */
  private int expectedAnswers(byte[] message) {
    Message parsed = new MessageReader(LIMITS).read(message);
    if (batch == null
        && !(parsed instanceof Message.Single single && single.entry() instanceof Message.Call)) {
      throw usageError("PARAMS: expected a JSON object or array");
    }
    if (parsed instanceof Message.Batch batchMessage) {
      return (int) batchMessage.entries().stream()
          .filter(e -> !(e instanceof Message.Call c && c.id() == null))
          .count();
    }
    return parsed instanceof Message.Single single
            && single.entry() instanceof Message.Call c
            && c.id() == null
        ? 0
        : 1;
  }

  private StandInRpcClient connect(EventLoopGroup group, Framing selectedFraming)
      throws InterruptedException {
    InetSocketAddress server;
    try {
      server = Addresses.parse("ADDRESS", address);
    } catch (IllegalArgumentException e) {
      throw usageError("ADDRESS: expected HOST:PORT with a numeric host, got " + address);
    }
    try {
      return new StandInRpcClient(server, group, selectedFraming);
    } catch (InterruptedException e) {
      throw e;
    } catch (Exception e) {
      throw usageError("ADDRESS: nobody listens at " + address);
    }
  }

  private int readAnswers(StandInRpcClient client, int expected) throws InterruptedException {
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
    MessageReader reader = new MessageReader(LIMITS);
    boolean allResults = true;
    int received = 0;
    while (received < expected) {
      String text =
          client.next(Math.max(0, TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime())));
      if (text == null) {
        spec.commandLine().getErr().println(expected - received + " answers did not come");
        return 1;
      }
      spec.commandLine().getOut().println(text);
      Message message = reader.read(text.getBytes(StandardCharsets.UTF_8));
      java.util.List<Message.Entry> entries = message instanceof Message.Batch b
          ? b.entries()
          : message instanceof Message.Single single
              ? java.util.List.of(single.entry())
              : java.util.List.of();
      received += Math.max(1, entries.size());
      allResults &= !entries.isEmpty()
          && entries.stream().allMatch(e -> e instanceof Message.Reply r && r.result() != null);
    }
    return allResults ? 0 : 1;
  }
}
