package elmsail.rpc;

import elmsail.rpc.messages.OpaqueMessage;
import elmsail.runtime.ErrorCode;
import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;

/**
 * The bytes that processes of released versions send, as resources keep them. {@link #main} wrote
 * the resources; a line that stands in them is never written anew, as a process of an older version
 * would not understand it. A new message type gets a line added; where a type gets a field, its
 * line moves to those with fewer fields, and the new line has the same bytes and more behind them.
 */
final class PinnedWire {

  /** Lines of type number, class name at the time of writing, and bytes in hex. */
  static final String MESSAGES = "pinned-messages.txt";

  /** Lines of messages as they were before fields were added to their types. */
  static final String MESSAGES_WITH_FEWER_FIELDS = "pinned-messages-with-fewer-fields.txt";

  /** Lines of a frame's description and its bytes in hex. */
  static final String FRAMES = "pinned-frames.txt";

  private static final long CALL = 0x0102030405060708L;
  private static final String ADDRESS = "10.0.0.1:7720";

  /**
   * One line of a resource.
   *
   * @param number of the message's type, or 0 of a frame
   */
  record Line(int number, String name, byte[] bytes) {
    static Line parse(String line) {
      String[] parts = line.split(" ");
      return new Line(
          Integer.parseInt(parts[0]),
          parts[1],
          HexFormat.of().parseHex(parts.length == 2 ? "" : parts[2]));
    }

    String format() {
      return number + " " + name + " " + HexFormat.of().formatHex(bytes);
    }
  }

  private PinnedWire() {}

  /** Writes both resources into the folder given. */
  public static void main(String[] args) throws IOException, ReflectiveOperationException {
    Path folder = Path.of(args[0]);
    write(folder.resolve(MESSAGES), messages());
    write(folder.resolve(FRAMES), frames());
  }

  /** The lines of a resource. */
  static List<Line> pinned(String resource) throws IOException {
    try (InputStream in = PinnedWire.class.getResourceAsStream(resource)) {
      String text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
      return text.lines().map(Line::parse).toList();
    }
  }

  /** A filled message of each type, as the present code writes it. */
  static List<Line> messages() throws ReflectiveOperationException {
    List<Line> lines = new ArrayList<>();
    for (int number = 1; number < MessageTypes.size(); number++) {
      Class<?> type = MessageTypes.typeOf(number);
      lines.add(
          new Line(number, type.getSimpleName(), encoded(number, FilledMessages.filled(type))));
    }
    return lines;
  }

  /** A frame of each kind, as the present code writes it. */
  static List<Line> frames() {
    MessageCodec codec = new MessageCodec();
    OpaqueMessage message = new OpaqueMessage();
    message.kind = "kind";
    message.bytes = new byte[] {1, 2, 3};
    List<Line> lines = new ArrayList<>();
    lines.add(frame("request", Frame.message(codec, Frame.REQUEST, CALL, message)));
    lines.add(frame("response", Frame.message(codec, Frame.RESPONSE, CALL, message)));
    lines.add(frame("ping", Frame.withoutPayload(Frame.PING, 0)));
    lines.add(frame("pong", Frame.withoutPayload(Frame.PONG, 0)));
    lines.add(
        frame("hello", Frame.hello(new HandshakeHello(HandshakeHello.VERSION, ADDRESS, CALL))));
    lines.add(
        frame(
            "hello-to-any-instance",
            Frame.hello(
                new HandshakeHello(HandshakeHello.VERSION, ADDRESS, HandshakeHello.ANY_INSTANCE))));
    for (int i = 0; i < ErrorCode.values().length; i++) {
      lines.add(frame("failure-" + i, Frame.failure(CALL, ErrorCode.values()[i])));
    }
    return lines;
  }

  /** The message's bytes without its frame. */
  static byte[] encoded(int number, Object message) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    new MessageCodec().write(number, message, out);
    return out.toByteArray();
  }

  private static Line frame(String name, ByteBuf frame) {
    byte[] bytes = new byte[frame.readableBytes()];
    frame.readBytes(bytes);
    frame.release();
    return new Line(0, name, bytes);
  }

  private static void write(Path file, List<Line> lines) throws IOException {
    Files.write(file, lines.stream().map(Line::format).toList());
  }
}
