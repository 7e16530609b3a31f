package pumicekeel.delivery;

import java.nio.charset.StandardCharsets;

/** A version that was received and has not been verified yet. */
public sealed interface Candidate {

  ConfigurationVersion version();

  /** Returns the whole text after checking its hash. Linear in its length, so it must not be called on an event loop. */
  String text(String heldText) throws ConfigurationDelta.NotApplicableException;

  /** A whole text, received in parts. */
  record Snapshot(ConfigurationVersion version, byte[] bytes) implements Candidate {
    @Override
    public String text(String heldText) throws ConfigurationDelta.NotApplicableException {
      if (!version.isOf(bytes)) {
        throw new ConfigurationDelta.NotApplicableException(
            "the snapshot is not the text of version " + version);
      }
      return new String(bytes, StandardCharsets.UTF_8);
    }
  }

  /** A delta from the held text. */
  record Delta(ConfigurationDelta delta) implements Candidate {
    @Override
    public ConfigurationVersion version() {
      return delta.target();
    }

    @Override
    public String text(String heldText) throws ConfigurationDelta.NotApplicableException {
      return ConfigurationDocument.parse(heldText).apply(delta);
    }
  }
}
