package pumicekeel.delivery;

/**
 * A subscriber's call for what is newer.
 *
 * @param held the base of a delta; NONE for a snapshot
 * @param known nothing up to this one is wanted
 * @param waitMillis how long the call may be held where there is nothing newer
 */
public record ConfigurationRequest(
    ReplicaReport replica,
    ConfigurationVersion held,
    ConfigurationVersion known,
    long waitMillis) {}
