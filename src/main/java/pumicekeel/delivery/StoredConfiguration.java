package pumicekeel.delivery;

/**
 * A version with its whole text, as it is kept.
 *
 * @param storedAtMillis when it was kept here, in Unix time
 */
public record StoredConfiguration(ConfigurationVersion version, long storedAtMillis, String text) {}
