package pumicekeel.delivery;

/**
 * A stored version with its whole text.
 *
 * @param storedAtMillis when it was stored here, Unix time
 */
public record StoredConfiguration(ConfigurationVersion version, long storedAtMillis, String text) {}
