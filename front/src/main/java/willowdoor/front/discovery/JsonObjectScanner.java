package willowdoor.front.discovery;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;

/**
 * Cuts what a watch brings into whole JSON objects, however they are laid out over lines and over
 * reads. What stands between them is white space: the empty lines that show that the watch lives.
 */
final class JsonObjectScanner {

  private static final int MAX_OBJECT_BYTES = 4 << 20;

  private ByteArrayOutputStream object = new ByteArrayOutputStream();
  private int depth;
  private boolean inString;
  private boolean escaped;
  private boolean malformed;

  /** The objects that end with these bytes, in order. */
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

  /** Whether an object has begun and not ended. */
  boolean insideObject() {
    return depth > 0;
  }

  /**
   * Whether something came that is neither an object nor white space, or an object beyond all
   * bounds.
   */
  boolean malformed() {
    return malformed;
  }
}
