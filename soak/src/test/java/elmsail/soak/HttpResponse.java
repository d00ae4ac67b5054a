package elmsail.soak;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;

/** A complete response; the names of its headers are in lower case. */
record HttpResponse(int status, Map<String, String> headers, byte[] body) {

  String header(String name) {
    return headers.get(name.toLowerCase(Locale.ROOT));
  }

  String text() {
    return new String(body, StandardCharsets.UTF_8);
  }
}
