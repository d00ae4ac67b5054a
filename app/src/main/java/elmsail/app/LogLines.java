package elmsail.app;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.IThrowableProxy;
import ch.qos.logback.classic.spi.StackTraceElementProxy;
import ch.qos.logback.core.UnsynchronizedAppenderBase;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

/**
 * Writes each event as one line: ms since the log began, level, the logger's last name, message;
 * and for what was thrown a line for each cause with the nearest places in the code.
 */
final class LogLines extends UnsynchronizedAppenderBase<ILoggingEvent> {

  private static final int MOST_CAUSES = 4;
  private static final int MOST_PLACES = 8;

  private final PrintStream out;
  private final long began = System.nanoTime();

  LogLines(PrintStream out) {
    this.out = out;
  }

  @Override
  protected void append(ILoggingEvent event) {
    StringBuilder line = new StringBuilder(160);
    String name = event.getLoggerName();
    line.append((System.nanoTime() - began) / 1_000_000)
        .append(' ')
        .append(event.getLevel())
        .append(' ')
        .append(name, name.lastIndexOf('.') + 1, name.length())
        .append(' ');
    onOneLine(line, event.getFormattedMessage());
    line.append('\n');
    IThrowableProxy thrown = event.getThrowableProxy();
    for (int i = 0; thrown != null && i < MOST_CAUSES; i++) {
      line.append("  ").append(thrown.getClassName()).append(": ");
      onOneLine(line, thrown.getMessage());
      line.append('\n');
      places(line, thrown.getStackTraceElementProxyArray());
      thrown = thrown.getCause();
    }
    byte[] bytes = line.toString().getBytes(StandardCharsets.UTF_8);
    out.write(bytes, 0, bytes.length);
    out.flush();
  }

  private static void places(StringBuilder line, StackTraceElementProxy[] places) {
    for (int i = 0; places != null && i < places.length && i < MOST_PLACES; i++) {
      line.append("    at ").append(places[i].getStackTraceElement()).append('\n');
    }
  }

  /** What others sent may be part of a message: it makes no lines of its own. */
  private static void onOneLine(StringBuilder line, String text) {
    if (text == null) {
      return;
    }
    for (int i = 0; i < text.length(); i++) {
      char letter = text.charAt(i);
      line.append(letter < ' ' ? ' ' : letter);
    }
  }
}
