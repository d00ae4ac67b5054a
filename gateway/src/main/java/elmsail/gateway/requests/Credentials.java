package elmsail.gateway.requests;

import elmsail.gateway.http.Headers;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Optional;

/**
 * The key that a request carries in exactly one header {@code Authorization: Bearer KEY} (RFC
 * 6750). {@link #toString} does not reveal the key. Immutable.
 */
public final class Credentials {
  private static final String SCHEME_PREFIX = "Bearer ";
  private static final Credentials NONE = new Credentials(Optional.empty());

  private final Optional<String> key;

  private Credentials(Optional<String> key) {
    this.key = key;
  }

  /**
   * Returns the credentials of a request. They have no key if the request has no {@code
   * Authorization} header, several of them or a malformed one.
   */
  public static Credentials of(HttpHeaders headers) {
    List<String> values = headers.getAll(Headers.AUTHORIZATION);
    if (values.size() != 1) {
      return NONE;
    }
    String value = values.get(0);
    if (!value.regionMatches(true, 0, SCHEME_PREFIX, 0, SCHEME_PREFIX.length())) {
      return NONE;
    }
    return new Credentials(Optional.of(value.substring(SCHEME_PREFIX.length()).strip()));
  }

  /** The key, which must not appear in logs, metrics or responses. */
  Optional<String> key() {
    return key;
  }

  @Override
  public String toString() {
    return key.isPresent() ? "a key" : "no key";
  }
}
