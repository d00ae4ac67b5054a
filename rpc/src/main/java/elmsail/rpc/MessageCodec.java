package elmsail.rpc;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import io.protostuff.LinkedBuffer;
import io.protostuff.ProtostuffIOUtil;
import io.protostuff.Schema;
import io.protostuff.runtime.RuntimeSchema;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;

/**
 * Encodes and decodes messages by Protostuff's runtime schema. Null fields are not encoded, so they
 * are decoded to the default of their class. Not thread-safe: it reuses its buffer.
 */
public final class MessageCodec {

  private static final int BUFFER_BYTES = 1024;

  private final Schema<?>[] schemas = new Schema<?>[MessageTypes.size()];
  private final LinkedBuffer buffer = LinkedBuffer.allocate(BUFFER_BYTES);

  /** The type number of a message; fails with INTERNAL if its class has none. */
  int typeNumber(Object message) {
    int typeNumber =
        message == null ? MessageTypes.NONE : MessageTypes.numberOf(message.getClass());
    if (typeNumber == MessageTypes.NONE) {
      throw new ElmsailException(
          ErrorCode.INTERNAL,
          "not a message type: " + (message == null ? "null" : message.getClass().getName()));
    }
    return typeNumber;
  }

  /** Encodes a message whose class has that type number. */
  void write(int typeNumber, Object message, OutputStream out) {
    try {
      ProtostuffIOUtil.writeTo(out, message, schema(typeNumber), buffer);
    } catch (IOException | RuntimeException e) {
      throw new ElmsailException(
          ErrorCode.INTERNAL, "cannot encode a " + message.getClass().getSimpleName(), e);
    } finally {
      buffer.clear();
    }
  }

  /**
   * Decodes a message.
   *
   * @throws ElmsailException with MALFORMED if the type number is unknown or the bytes cannot be
   *     decoded as that type
   */
  Object read(int typeNumber, byte[] bytes, int offset, int length) {
    Schema<Object> schema = schema(typeNumber);
    if (schema == null) {
      throw new ElmsailException(ErrorCode.MALFORMED, "unknown message type " + typeNumber);
    }
    Object message = schema.newMessage();
    try {
      ProtostuffIOUtil.mergeFrom(bytes, offset, length, message, schema);
    } catch (RuntimeException e) {
      throw new ElmsailException(
          ErrorCode.MALFORMED,
          "cannot decode "
              + length
              + " bytes as a "
              + MessageTypes.typeOf(typeNumber).getSimpleName(),
          e);
    }
    return message;
  }

  /** A message as a datagram carries it: its type number in one byte, then its encoding. */
  public byte[] toDatagram(Object message) {
    int typeNumber = typeNumber(message);
    ByteArrayOutputStream out = new ByteArrayOutputStream(BUFFER_BYTES);
    out.write(typeNumber);
    write(typeNumber, message, out);
    return out.toByteArray();
  }

  /**
   * Decodes a datagram.
   *
   * @throws ElmsailException with MALFORMED if it carries no message of that type
   */
  public <T> T fromDatagram(byte[] datagram, Class<T> type) {
    if (datagram.length == 0 || MessageTypes.typeOf(datagram[0]) != type) {
      throw new ElmsailException(ErrorCode.MALFORMED, "no " + type.getSimpleName());
    }
    return type.cast(read(datagram[0], datagram, 1, datagram.length - 1));
  }

  /** A copy that shares nothing with the message, as a peer would receive it. */
  public <T> T copy(T message) {
    int typeNumber = typeNumber(message);
    ByteArrayOutputStream out = new ByteArrayOutputStream(BUFFER_BYTES);
    write(typeNumber, message, out);
    byte[] bytes = out.toByteArray();
    // What is read has the number, and so the class, of what was written.
    @SuppressWarnings("unchecked")
    T copy = (T) read(typeNumber, bytes, 0, bytes.length);
    return copy;
  }

  /** The encoded size of a message in bytes, without its frame. */
  public int encodedBytes(Object message) {
    ByteArrayOutputStream out = new ByteArrayOutputStream(BUFFER_BYTES);
    write(typeNumber(message), message, out);
    return out.size();
  }

  // The runtime schema takes and makes plain objects of the class it was made for.
  @SuppressWarnings("unchecked")
  private Schema<Object> schema(int typeNumber) {
    Class<?> type = MessageTypes.typeOf(typeNumber);
    if (type == null) {
      return null;
    }
    if (schemas[typeNumber] == null) {
      schemas[typeNumber] = RuntimeSchema.getSchema(type);
    }
    return (Schema<Object>) schemas[typeNumber];
  }
}
