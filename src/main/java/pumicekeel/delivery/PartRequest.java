package pumicekeel.delivery;

/** A subscriber's call for the next part of a snapshot, from this byte offset. */
public record PartRequest(String replica, ConfigurationVersion version, long offset) {}
