package pumicekeel.jsonrpc;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Evaluates several pointers in one pass over a document. Section 4 of RFC 6901: a token is the name of an object member or
 * an array index without leading zeros; {@code -} never matches an element.
 */
public final class JsonPointerSet {

  /** The type of the value that a pointer refers to. */
  public enum Kind {
    ABSENT,
    STRING,
    NUMBER,
    BOOLEAN,
    NULL,
    OBJECT,
    ARRAY
  }

  /** A value; {@code text} is the decoded string, or the number or boolean as written, else null. */
  public record Found(Kind kind, String text) {
    static final Found ABSENT = new Found(Kind.ABSENT, null);
  }

  private static final class Node {
    private final Map<String, Node> children = new HashMap<>();
    private int index = -1;
  }

  private final Node root = new Node();
  private final int count;

  public JsonPointerSet(List<JsonPointer> pointers) {
    count = pointers.size();
    int distinct = 0;
    nodeIndexes = new int[count];
    for (int i = 0; i < count; i++) {
      Node node = root;
      for (String token : pointers.get(i).tokens()) {
        node = node.children.computeIfAbsent(token, k -> new Node());
      }
      node.index = node.index < 0 ? distinct++ : node.index;
      nodeIndexes[i] = node.index;
    }
  }

  /** The result index of each pointer; equal pointers share one. */
  private final int[] nodeIndexes;

  /** Returns the values of the pointers in their order. The document must be valid JSON; null means none. */
  public Found[] resolve(byte[] document) {
    Found[] found = new Found[count];
    java.util.Arrays.fill(found, Found.ABSENT);
    if (document != null && count > 0) {
      try (JsonParser p = MessageReader.FACTORY.createParser(document)) {
        p.nextToken();
        walk(p, found);
      } catch (IOException e) {
        throw new IllegalStateException("params that were valid before", e);
      }
    }
    Found[] out = new Found[count];
    for (int i = 0; i < count; i++) {
      out[i] = found[nodeIndexes[i]];
    }
    return out;
  }

  private void walk(JsonParser p, Found[] found) throws IOException {
    Node[] nodes = new Node[Limits.MAX_DEPTH + 2];
    int[] indexes = new int[Limits.MAX_DEPTH + 2];
    boolean[] arrays = new boolean[Limits.MAX_DEPTH + 2];
    int depth = 0;
    Node current = root;
    for (JsonToken t = p.currentToken(); t != null; t = p.nextToken()) {
      if (t == JsonToken.FIELD_NAME) {
        current = nodes[depth] == null ? null : nodes[depth].children.get(p.currentName());
        continue;
      }
      if (t == JsonToken.END_OBJECT || t == JsonToken.END_ARRAY) {
        depth--;
        continue;
      }
      if (depth > 0 && arrays[depth]) {
        Node parent = nodes[depth];
        int at = indexes[depth]++;
        current = parent == null || parent.children.isEmpty()
            ? null
            : parent.children.get(Integer.toString(at));
      }
      if (current != null && current.index >= 0) {
        found[current.index] = found(p, t);
      }
      if (t.isStructStart()) {
        depth++;
        nodes[depth] = current;
        indexes[depth] = 0;
        arrays[depth] = t == JsonToken.START_ARRAY;
      }
    }
  }

  private static Found found(JsonParser p, JsonToken t) throws IOException {
    return switch (t) {
      case VALUE_STRING -> new Found(Kind.STRING, p.getText());
      case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> new Found(Kind.NUMBER, p.getText());
      case VALUE_TRUE, VALUE_FALSE -> new Found(Kind.BOOLEAN, p.getText());
      case START_OBJECT -> new Found(Kind.OBJECT, null);
      case START_ARRAY -> new Found(Kind.ARRAY, null);
      default -> new Found(Kind.NULL, null);
    };
  }
}
