package pumicekeel.delivery;

/** A subscriber's call for the next part of a snapshot, from this byte on. */
public record PartRequest(String replica, ConfigurationVersion version, long offset) {}
