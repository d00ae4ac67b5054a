package willowdoor.front.discovery;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;

/**
 * Splits the bytes of a watch into complete JSON objects, regardless of how the objects are spread
 * over lines and reads. Only white space is allowed between objects: the agent sends empty lines as
 * heartbeats.
 */
final class JsonObjectScanner {

  private static final int MAX_OBJECT_BYTES = 4 << 20;

  private ByteArrayOutputStream object = new ByteArrayOutputStream();
  private int depth;
  private boolean inString;
  private boolean escaped;
  private boolean malformed;

  /** Returns the objects that are completed by these bytes, in order. */
  List<byte[]> read(byte[] bytes) {
    List<byte[]> whole = new ArrayList<>(1);
    int from = 0;
    for (int i = 0; i < bytes.length && !malformed; i++) {
      boolean between = depth == 0;
      step(bytes[i]);
      if (between) {
        from = i;
      } else if (depth == 0) {
        object.write(bytes, from, i + 1 - from);
        whole.add(object.toByteArray());
        object = new ByteArrayOutputStream();
      }
    }
    if (depth > 0) {
      object.write(bytes, from, bytes.length - from);
      malformed |= object.size() > MAX_OBJECT_BYTES;
    }
    return whole;
  }

  private void step(byte b) {
    if (inString) {
      inString = escaped || b != '"';
      escaped = !escaped && b == '\\';
    } else if (b == '{' || b == '[' && depth > 0) {
      depth++;
    } else if ((b == '}' || b == ']') && depth > 0) {
      depth--;
    } else if (depth > 0) {
      inString = b == '"';
    } else {
      malformed = b != '\n' && b != '\r' && b != ' ' && b != '\t';
    }
  }

  /** Whether an object has started and is not complete. */
  boolean insideObject() {
    return depth > 0;
  }

  /**
   * Whether the input contained something other than objects and white space, or an object that
   * exceeds the size limit.
   */
  boolean malformed() {
    return malformed;
  }
}
