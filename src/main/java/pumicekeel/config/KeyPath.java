package pumicekeel.config;

/**
 * The path of a value in a file: keys and array indexes from the root.
 *
 * @param parent the path of the enclosing table or array; null for the root
 * @param key its key in a table; null for an element of an array
 * @param index its index in an array, from 0; unused if {@code key} is not null
 */
record KeyPath(KeyPath parent, String key, int index) {

  static final KeyPath ROOT = new KeyPath(null, null, 0);

  KeyPath key(String name) {
    return new KeyPath(this, name, 0);
  }

  KeyPath element(int position) {
    return new KeyPath(this, null, position);
  }

  /** Returns the path as faults show it, such as {@code pools.quotes.classes[0].name}; empty for the root. */
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
