package elmsail.app;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.core.spi.ContextAwareBase;
import ch.qos.logback.core.status.NopStatusListener;

/**
 * Configures Logback in code, as parsing a file and a pattern would cost more than the rest of the
 * start: plain lines to standard output. Logback finds it as a service. The system property {@value
 * #DEBUG} names loggers, separated by commas, whose debug lines are written too.
 */
public final class LogSetup extends ContextAwareBase implements Configurator {
  static final String DEBUG = "elmsail.debug";

  @Override
  public ExecutionStatus configure(LoggerContext context) {
    // With a listener, Logback does not load its time formats to print its own status.
    context.getStatusManager().add(new NopStatusListener());
    LineAppender lines = new LineAppender(System.out);
    lines.setContext(context);
    lines.start();
    Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    root.setLevel(Level.INFO);
    root.addAppender(lines);
    context.getLogger("io.netty").setLevel(Level.WARN);
    for (String name : System.getProperty(DEBUG, "").split(",")) {
      if (!name.isBlank()) {
        context.getLogger(name).setLevel(Level.DEBUG);
      }
    }
    return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
  }
}
