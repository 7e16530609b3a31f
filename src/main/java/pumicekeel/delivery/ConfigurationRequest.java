package pumicekeel.delivery;

/**
 * A subscriber's call for a newer version.
 *
 * @param held the base of a delta; NONE for a snapshot
 * @param known only versions newer than this are requested
 * @param waitMillis how long the call may be held while there is no newer version
 */
public record ConfigurationRequest(
    ReplicaReport replica,
    ConfigurationVersion held,
    ConfigurationVersion known,
    long waitMillis) {}
