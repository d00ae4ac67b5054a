package elmsail.app;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.IThrowableProxy;
import ch.qos.logback.classic.spi.StackTraceElementProxy;
import ch.qos.logback.core.UnsynchronizedAppenderBase;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

/**
 * A Logback appender that writes each event as one line: ms since the start, level, the logger's
 * simple name, message. An exception follows with a line for each cause and its top stack frames.
 * Each event is written at once.
 */
final class LineAppender extends UnsynchronizedAppenderBase<ILoggingEvent> {

  private static final int MAX_CAUSES = 4;
  private static final int MAX_STACK_FRAMES = 8;

  private final PrintStream out;
  private final long startedAtNanos = System.nanoTime();

  LineAppender(PrintStream out) {
    this.out = out;
  }

  @Override
  protected void append(ILoggingEvent event) {
    StringBuilder line = new StringBuilder(160);
    String name = event.getLoggerName();
    line.append((System.nanoTime() - startedAtNanos) / 1_000_000)
        .append(' ')
        .append(event.getLevel())
        .append(' ')
        .append(name, name.lastIndexOf('.') + 1, name.length())
        .append(' ');
    appendWithoutControls(line, event.getFormattedMessage());
    line.append('\n');
    IThrowableProxy cause = event.getThrowableProxy();
    for (int i = 0; cause != null && i < MAX_CAUSES; i++) {
      line.append("  ").append(cause.getClassName()).append(": ");
      appendWithoutControls(line, cause.getMessage());
      line.append('\n');
      appendStackTrace(line, cause.getStackTraceElementProxyArray());
      cause = cause.getCause();
    }
    byte[] bytes = line.toString().getBytes(StandardCharsets.UTF_8);
    out.write(bytes, 0, bytes.length);
    out.flush();
  }

  private static void appendStackTrace(StringBuilder line, StackTraceElementProxy[] frames) {
    for (int i = 0; frames != null && i < frames.length && i < MAX_STACK_FRAMES; i++) {
      line.append("    at ").append(frames[i].getStackTraceElement()).append('\n');
    }
  }

  /**
   * Replaces control characters: a message may hold what peers sent, which must not forge lines.
   */
  private static void appendWithoutControls(StringBuilder line, String text) {
    if (text == null) {
      return;
    }
    for (int i = 0; i < text.length(); i++) {
      char character = text.charAt(i);
      line.append(character < ' ' ? ' ' : character);
    }
  }
}
