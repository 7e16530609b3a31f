package pumicekeel.delivery.wire;

import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.handler.codec.http.QueryStringEncoder;
import java.util.List;
import pumicekeel.delivery.ConfigurationRequest;
import pumicekeel.delivery.ConfigurationVersion;
import pumicekeel.delivery.PartRequest;
import pumicekeel.delivery.ReplicaReport;

/** Targets of calls to a control machine. What can't be read is an IllegalArgumentException that says why. */
public final class DeliveryPaths {

  public static final String CONFIGURATION = "/v1/configuration";
  public static final String PARTS = "/v1/configuration/parts/";
  public static final String REPLICAS = "/v1/replicas";

  /** Longer than any call is; a control machine reads no longer request line. */
  public static final int MAX_TARGET_BYTES = 4 << 10;

  private static final String NONE = ConfigurationVersion.NONE.text();

  /** A writer's call: the version that its body is. */
  public record Publication(ConfigurationVersion version, boolean dryRun) {}

  private DeliveryPaths() {}

  /** {@code GET}: what is newer. */
  public static String target(ConfigurationRequest request) {
    QueryStringEncoder query = new QueryStringEncoder(CONFIGURATION);
    addVersion(query, request.held());
    query.addParam("wait-ms", Long.toString(request.waitMillis()));
    query.addParam("known", request.known().text());
    ReplicaReport replica = request.replica();
    query.addParam("name", replica.name());
    query.addParam("in-force", replica.inForce().text());
    query.addParam("refused", replica.refused().text());
    query.addParam("trouble", replica.trouble());
    return query.toString();
  }

  /** Reads {@link #target(ConfigurationRequest)}; what is left out is none. */
  public static ConfigurationRequest request(QueryStringDecoder query) {
    ConfigurationVersion held = version(query);
    return new ConfigurationRequest(
        new ReplicaReport(
            text(query, "name", ""),
            ConfigurationVersion.parse(text(query, "in-force", NONE)),
            ConfigurationVersion.parse(text(query, "refused", NONE)),
            text(query, "trouble", "")),
        held,
        ConfigurationVersion.parse(text(query, "known", held.text())),
        number(query, "wait-ms", 0));
  }

  /** {@code GET}: a part of a snapshot. */
  public static String target(PartRequest request) {
    ConfigurationVersion version = request.version();
    QueryStringEncoder query = new QueryStringEncoder(
        PARTS + version.epoch() + "/" + version.sequence() + "/" + version.hash());
    query.addParam("offset", Long.toString(request.offset()));
    query.addParam("name", request.replica());
    return query.toString();
  }

  /** Reads {@link #target(PartRequest)}. */
  public static PartRequest partRequest(QueryStringDecoder query) {
    String version = query.path().substring(PARTS.length()).replace('/', '.');
    return new PartRequest(
        text(query, "name", ""), ConfigurationVersion.parse(version), number(query, "offset", 0));
  }

  /** {@code POST}: a version, whose text is the body. */
  public static String target(Publication publication) {
    QueryStringEncoder query = new QueryStringEncoder(CONFIGURATION);
    addVersion(query, publication.version());
    query.addParam("dry-run", Boolean.toString(publication.dryRun()));
    return query.toString();
  }

  /** Reads {@link #target(Publication)}. */
  public static Publication publication(QueryStringDecoder query) {
    return new Publication(version(query), Boolean.parseBoolean(text(query, "dry-run", "false")));
  }

  private static void addVersion(QueryStringEncoder query, ConfigurationVersion version) {
    query.addParam("epoch", Long.toString(version.epoch()));
    query.addParam("sequence", Long.toString(version.sequence()));
    query.addParam("hash", version.hash());
  }

  private static ConfigurationVersion version(QueryStringDecoder query) {
    return new ConfigurationVersion(
        number(query, "epoch", 0),
        number(query, "sequence", 0),
        text(query, "hash", ConfigurationVersion.NONE.hash()));
  }

  private static String text(QueryStringDecoder query, String name, String absent) {
    List<String> values = query.parameters().get(name);
    return values == null ? absent : values.get(0);
  }

  private static long number(QueryStringDecoder query, String name, long absent) {
    String text = text(query, name, null);
    try {
      return text == null ? absent : Long.parseLong(text);
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException(name + ": expected a whole number, got \"" + text + "\"");
    }
  }
}
