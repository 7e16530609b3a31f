package pumicekeel.delivery;

import java.io.IOException;
import java.util.List;

/** Keeps the last versions over restarts. Blocks, so it is not for an event loop; one thread at a time. */
public interface ConfigurationStore {

  /** The versions that are kept and whole, the newest first. */
  List<StoredConfiguration> load() throws IOException;

  /** Keeps one more, newer than the others. Once this returns it survives the host; where it fails the others are as before. */
  void save(StoredConfiguration configuration) throws IOException;
}
