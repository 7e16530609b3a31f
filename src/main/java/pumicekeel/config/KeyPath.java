package pumicekeel.config;

/**
 * Where a value stands in a file: the keys and array places from the root on.
 *
 * @param parent the table or array that holds it; null for the root
 * @param key its key in a table; null for an element of an array
 * @param index its place in an array, from 0; of no meaning where {@code key} is not null
 */
record KeyPath(KeyPath parent, String key, int index) {

  static final KeyPath ROOT = new KeyPath(null, null, 0);

  KeyPath key(String name) {
    return new KeyPath(this, name, 0);
  }

  KeyPath element(int place) {
    return new KeyPath(this, null, place);
  }

  /** As faults name it: {@code pools.quotes.classes[0].name}; empty for the root. */
  @Override
  public String toString() {
    StringBuilder out = new StringBuilder();
    append(out);
    return out.toString();
  }

  private void append(StringBuilder out) {
    if (parent == null) {
      return;
    }
    parent.append(out);
    if (key == null) {
      out.append('[').append(index).append(']');
    } else {
      out.append(out.isEmpty() ? "" : ".").append(key);
    }
  }
}
