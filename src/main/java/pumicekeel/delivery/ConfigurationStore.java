package pumicekeel.delivery;

import java.io.IOException;
import java.util.List;

/** Stores the last versions durably. Blocks, so it must not be used on an event loop. Not thread-safe. */
public interface ConfigurationStore {

  /** Returns the intact stored versions, newest first. */
  List<StoredConfiguration> load() throws IOException;

  /** Stores a version newer than the others. It is durable once this returns; after a failure the others are unchanged. */
  void save(StoredConfiguration configuration) throws IOException;
}
