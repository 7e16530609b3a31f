package pumicekeel.delivery;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The text of a configuration as an ordered list of keyed entries, whose texts in a row are the whole text. The first entry holds
 * what stands before the first header; it is always there and its key is empty. Unchangeable.
 */
public final class ConfigurationDocument {

  /** One block of the text: a header and what belongs to it. Keys are unique within a document. */
  public record Entry(String key, String text) {}

  private final List<Entry> entries;

  private ConfigurationDocument(List<Entry> entries) {
    this.entries = entries;
  }

  /** Divides a text; any text can be divided, also one that is no TOML. Linear. */
  public static ConfigurationDocument parse(String text) {
    return new ConfigurationDocument(List.copyOf(DocumentSplitter.split(text)));
  }

  /** The entries in order. */
  public List<Entry> entries() {
    return entries;
  }

  /** The whole text. */
  public String text() {
    StringBuilder out = new StringBuilder();
    entries.forEach(e -> out.append(e.text()));
    return out.toString();
  }

  /** The same document, holding the objects of another one's entries where these are equal: a history of documents stays small. */
  public ConfigurationDocument sharing(ConfigurationDocument other) {
    Map<String, Entry> known = new HashMap<>();
    other.entries.forEach(e -> known.put(e.key(), e));
    List<Entry> out = new ArrayList<>(entries.size());
    for (Entry entry : entries) {
      Entry same = known.get(entry.key());
      out.add(entry.equals(same) ? same : entry);
    }
    return new ConfigurationDocument(List.copyOf(out));
  }

  /** What leads from a base to this document. */
  public ConfigurationDelta deltaFrom(
      ConfigurationDocument base, ConfigurationVersion from, ConfigurationVersion to) {
    Map<String, Integer> places = new HashMap<>();
    for (int i = 0; i < base.entries.size(); i++) {
      places.put(base.entries.get(i).key(), i);
    }
    int[] baseIndexes =
        entries.stream().mapToInt(e -> places.getOrDefault(e.key(), -1)).toArray();
    boolean[] inOrder = IncreasingSubsequence.longest(baseIndexes);
    List<ConfigurationDelta.Upsert> upserted = new ArrayList<>();
    Set<String> removed = places.keySet();
    for (int i = 0; i < baseIndexes.length; i++) {
      Entry entry = entries.get(i);
      if (!inOrder[i] || !entry.text().equals(base.entries.get(baseIndexes[i]).text())) {
        String after = i == 0 ? null : entries.get(i - 1).key();
        upserted.add(new ConfigurationDelta.Upsert(after, entry.key(), entry.text()));
      }
      removed.remove(entry.key());
    }
    return new ConfigurationDelta(from, to, List.copyOf(removed), List.copyOf(upserted));
  }

  /**
   * Carries out a delta on this document, which is the delta's base.
   *
   * @return the text of the target, whose hash has been checked
   */
  public String apply(ConfigurationDelta delta) throws ConfigurationDelta.NotApplicableException {
    Map<String, ConfigurationDelta.Upsert> byPredecessor = new HashMap<>();
    Set<String> dropped = new HashSet<>(delta.removed());
    for (ConfigurationDelta.Upsert upsert : delta.upserted()) {
      dropped.add(upsert.key());
      if (byPredecessor.put(upsert.after(), upsert) != null) {
        throw new ConfigurationDelta.NotApplicableException(
            "two entries come after " + upsert.after());
      }
    }
    StringBuilder out = new StringBuilder();
    appendFollowers(null, byPredecessor, out);
    for (Entry entry : entries) {
      if (!dropped.contains(entry.key())) {
        out.append(entry.text());
        appendFollowers(entry.key(), byPredecessor, out);
      }
    }
    if (!byPredecessor.isEmpty()) {
      throw new ConfigurationDelta.NotApplicableException(
          "an entry comes after one that is not there");
    }
    String text = out.toString();
    if (!delta.target().isOf(text.getBytes(StandardCharsets.UTF_8))) {
      throw new ConfigurationDelta.NotApplicableException(
          "the result is not the text of version " + delta.target());
    }
    return text;
  }

  /** Appends the run of upserted entries behind a key; each is used once, so that a circle ends. */
  private static void appendFollowers(
      String key, Map<String, ConfigurationDelta.Upsert> byPredecessor, StringBuilder out) {
    ConfigurationDelta.Upsert next = byPredecessor.remove(key);
    while (next != null) {
      out.append(next.text());
      next = byPredecessor.remove(next.key());
    }
  }
}
