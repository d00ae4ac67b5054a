package elmsail.app;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.matchesPattern;
import static org.hamcrest.Matchers.startsWith;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class LineAppenderTest {

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final Logger logger;

  LineAppenderTest() {
    LoggerContext context = new LoggerContext();
    LineAppender lines = new LineAppender(new PrintStream(out, false, StandardCharsets.UTF_8));
    lines.setContext(context);
    lines.start();
    logger = context.getLogger("elmsail.app.Launch");
    logger.setLevel(Level.INFO);
    logger.addAppender(lines);
  }

  private String[] written() {
    return out.toString(StandardCharsets.UTF_8).split("\n");
  }

  @Test
  void writesOneLinePerEvent() {
    logger.info("listening at {}", "127.0.0.1:1");
    logger.debug("not this");
    assertThat(
        String.join("|", written()),
        matchesPattern("\\d+ INFO Launch listening at 127\\.0\\.0\\.1:1"));
  }

  @Test
  void replacesControlCharactersInMessages() {
    logger.warn("refused {}", "a\r\n1 INFO Launch forged");
    assertThat(
        String.join("|", written()),
        matchesPattern("\\d+ WARN Launch refused a  1 INFO Launch forged"));
  }

  @Test
  void writesCausesWithStackFrames() {
    logger.error(
        "failed", new IllegalStateException("outer", new IllegalArgumentException("inner\nmore")));
    String[] lines = written();
    assertThat(lines[1], startsWith("  java.lang.IllegalStateException: outer"));
    assertThat(lines[2], containsString("LineAppenderTest"));
    assertThat(
        String.join("|", lines),
        containsString("|  java.lang.IllegalArgumentException: inner more|"));
  }
}
