package pumicekeel.delivery;

import java.nio.charset.StandardCharsets;

/** A version that has come and is not checked yet. */
public sealed interface Candidate {

  ConfigurationVersion version();

  /** The whole text, its hash checked; takes time by its length, so it is not for an event loop. */
  String text(String heldText) throws ConfigurationDelta.NotApplicableException;

  /** A whole text, as it came in parts. */
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

  /** What leads to it from the text that is held. */
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
