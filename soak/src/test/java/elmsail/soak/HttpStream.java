package elmsail.soak;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads headers and bodies of HTTP/1.1 messages from a connection. */
final class HttpStream {
  private static final int MAX_LINE_BYTES = 64 * 1024;

  private final InputStream in;

  HttpStream(InputStream in) {
    this.in = in;
  }

  /** A line without its line feed; null if the connection ended before it. */
  String line() throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int next = in.read();
    if (next < 0) {
      return null;
    }
    while (next != '\n') {
      if (next < 0 || line.size() > MAX_LINE_BYTES) {
        throw new EOFException("in the midst of a line");
      }
      if (next != '\r') {
        line.write(next);
      }
      next = in.read();
    }
    return line.toString(StandardCharsets.UTF_8);
  }

  /** The headers up to the empty line, names in lower case. */
  Map<String, String> headers() throws IOException {
    Map<String, String> headers = new LinkedHashMap<>();
    for (String line = requirePresent(line()); !line.isEmpty(); line = requirePresent(line())) {
      int colon = line.indexOf(':');
      if (colon < 1) {
        throw new IOException("not a header: " + line);
      }
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
    }
    return headers;
  }

  /** A body with a length or in chunks; else, if {@code endedByClose}, all up to the end. */
  byte[] body(Map<String, String> headers, boolean endedByClose) throws IOException {
    if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
      return chunks();
    }
    String length = headers.get("content-length");
    if (length != null) {
      return exactly(Integer.parseInt(length));
    }
    return endedByClose ? in.readAllBytes() : new byte[0];
  }

  private byte[] chunks() throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    while (true) {
      int size = Integer.parseInt(requirePresent(line()).split(";")[0].strip(), 16);
      body.write(exactly(size));
      if (size == 0) {
        headers();
        return body.toByteArray();
      }
      requirePresent(line());
    }
  }

  private byte[] exactly(int size) throws IOException {
    byte[] bytes = in.readNBytes(size);
    if (bytes.length < size) {
      throw new EOFException("in the midst of a body");
    }
    return bytes;
  }

  private static String requirePresent(String line) throws IOException {
    if (line == null) {
      throw new EOFException("in the midst of a head");
    }
    return line;
  }
}
